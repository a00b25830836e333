#!/bin/sh
# Builds what the script of this review starts, into build/review-3. Needs the
# packages of deploy/system.toml only; run it after the build of the deploy
# file.
set -eu
cd "$(dirname "$0")/.."
out=build/review-3
mkdir -p "$out"
# shellcheck disable=SC2046
gcc -std=gnu11 -O2 -Wall -Wextra review/sim-3/sim.c -o "$out/sim" \
    $(pkg-config --cflags --libs libevent jansson)
# The project's own: sends connections to other ports, so that they pass the
# proxy.
gcc -std=gnu11 -O2 -Wall -Wextra -fPIC -shared tests/standins/redirect.c \
    -o "$out/redirect.so" -ldl
