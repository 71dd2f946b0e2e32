#!/usr/bin/env bash
# Runs one deployment on loopback under load and failures, and prints a summary line.
#
# usage: scripts/demo.sh [agencia|wislanka]
#
# Under load it publishes a change of the settings, stops one balancer, kills another and starts a replacement, and
# marks one upstream as leaving. It fails if a guarantee is violated.
set -euo pipefail
cd "$(dirname "$0")/.."
. scripts/lib.sh

deployment_start "${1:-agencia}"
load_start
sleep 4

say "publish a change of the settings"
sed 's/retry_after: 200ms/retry_after: 250ms/' "$work/tree.yaml" > "$work/tree-2.yaml"
publish "$work/tree-2.yaml"
sleep 2

say "stop balancer 1"
balancer_stop 1 2 3
sleep 2

say "kill balancer 2 and start balancer 4 as its replacement"
balancer_kill 2
balancer_start 4
routes_set 3 4
sleep 3

say "mark upstream 3 as leaving"
mark_leaving 3
sleep 7

flows_sample
load_wait
verdict
