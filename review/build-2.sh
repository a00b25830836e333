#!/usr/bin/env bash
# Builds the stand-ins of the review's scripts, after the build of the deploy
# file. Needs its packages only.
set -eu
cd "$(dirname "$0")/.."
out=target/review-2
mkdir -p "$out"
packages="libevent libevent_openssl msgpack glib-2.0 jansson libsodium libxxhash openssl libzstd"
available=
for package in $packages; do
    if pkg-config --exists "$package"; then
        available="$available $package"
    fi
done
# shellcheck disable=SC2046,SC2086
for program in late_revoke; do
    gcc -std=c11 -D_GNU_SOURCE -O2 -g -Wall -Wextra \
        -Ireview/sim-2 -Ilib -Itests/integration $(pkg-config --cflags $available) \
        review/sim-2/$program.c review/sim-2/fleet.c tests/integration/world*.c \
        tests/integration/session_client.c target/libmasticrelay.a \
        $(pkg-config --libs $available) -o "$out/$program"
done
