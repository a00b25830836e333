#!/bin/sh
# Runs the case; see claim.txt. Exit status: 1 if the rule was broken, 0 if it
# held, 2 if the case could not run. TROUBLE=0 leaves the disruption out.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/review/sim ] && [ -x target/masticrelaysd ] || exit 2
exec target/review/sim settings review/4/record.txt
