#!/usr/bin/env bash
# Runs the capacity programs and prints their lines "name size value unit".
# Then prints a least-squares fit for each name that was measured at several
# sizes: "slope NAME INTERCEPT SLOPE UNIT". Called by `make capacity`.
set -euo pipefail
build=${MASTICRELAY_BUILD:-build}
out=$build/capacity.txt

{
    "$build/bench_capacity_modules"
    "$build/bench_capacity_structures"
    # Takes most of a minute, nearly all of it waiting, so the other programs
    # run meanwhile.
    "$build/bench_capacity_members" >"$out.members" &
    members=$!
    "$build/bench_capacity_connections"
    # Instances per data centre; with three of them 6, 12, 24 and 48 daemons.
    for instances in 2 4 8 16; do
        "$build/bench_capacity_fleet" "$instances"
    done
    wait "$members"
    cat "$out.members"
    # Growth of the store's load with accounts: 6 daemons with 8 accounts
    # (above) and with 100.
    "$build/bench_capacity_fleet" 2 3 100 |
        sed "s/^fleet_/accounts_/; s/^\([^ ]*\) 6 /\1 100 /"
    # Cost of a target: 12 daemons with 9 targets (above) and with 36.
    "$build/bench_capacity_fleet" 4 12 |
        sed "s/^fleet_/groups_/; s/^\([^ ]*\) 12 /\1 36 /"
} | tee "$out"

awk '
    $1 ~ /^fleet_/ && $2 == 6 {
        add("accounts_" substr($1, 7), 8, $3, $4)
    }
    $1 ~ /^fleet_/ && $2 == 12 {
        add("groups_" substr($1, 7), 9, $3, $4)
    }
    {
        add($1, $2, $3, $4)
    }
    function add(name, size, value, u) {
        n[name]++
        x[name] += size
        y[name] += value
        xx[name] += size * size
        xy[name] += size * value
        unit[name] = u
    }
    END {
        for (name in n) {
            d = n[name] * xx[name] - x[name] * x[name]
            if (n[name] < 2 || d == 0)
                continue
            b = (n[name] * xy[name] - x[name] * y[name]) / d
            a = (y[name] - b * x[name]) / n[name]
            printf "slope %s %.6g %.6g %s\n", name, a, b, unit[name]
        }
    }
' "$out" | sort | tee -a "$out"

# Extrapolates to the size expected in two years.
awk -f bench/capacity_model.awk "$out" | tee -a "$out"
