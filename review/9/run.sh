#!/usr/bin/env bash
# Exit status: 1 the rule was broken, 0 it held, 2 the case could not run.
# TROUBLE=0: without the disruption.
case_dir=$(cd "$(dirname "$0")" && pwd) || exit 2
cd "$case_dir/../.." || exit 2
program=target/review-2/late_revoke
[ -x "$program" ] && [ -x target/masticrelaysd ] || exit 2
CASE_TMP=$(mktemp -d) || exit 2
export CASE_TMP CASE_DIR="$case_dir"
timeout 115 "$program"
status=$?
rm -rf "$CASE_TMP"
case $status in
0 | 1) exit $status ;;
*) exit 2 ;;
esac
