#!/usr/bin/env bash
# Plays case 3: a route moves, and then all processes are killed. It exits with 1 if the rule was broken, 0 if it held, and 2 if the case could not run.
# With TROUBLE=0 it leaves the disruption out. Run review/build.sh and the build of the deploy file before.
set -uo pipefail
cd "$(dirname "$0")/../.."
[ -x review/bin/standin ] || { echo "review/build.sh was not run" >&2; exit 2; }
exec review/bin/standin moved-route review/3/record.txt
