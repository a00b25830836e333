#!/bin/sh
# Builds the stand-ins and clients that the scripts of the cases start. Needs
# the packages of deploy/system.toml only.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review
cc -std=c11 -D_GNU_SOURCE -O1 -g -Wall -Wextra -o target/review/sim \
    review/sim/world.c review/sim/record.c review/sim/fleet.c review/sim/scenario.c \
    $(pkg-config --cflags --libs libevent jansson) -lpthread
