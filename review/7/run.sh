#!/bin/bash
# Plays the case. TROUBLE=0 leaves the disruption out. Exits with 0 if the rule held, 1 if it was broken, 2 if the case
# could not run.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/review-2/standin-2 ] || { echo "run review/build-2.sh first"; exit 2; }
exec timeout --preserve-status -k 5 110 target/review-2/standin-2 idle-flow . review/7/record.txt
