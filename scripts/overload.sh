#!/usr/bin/env bash
# Runs one deployment on loopback with more requests than its slots can run, and prints a summary line.
#
# usage: [WORKERS=N] scripts/overload.sh [agencia|wislanka]
#
# Each request occupies a slot for 200 ms on average. The load starts 32 s after the deployment, when the slow start
# of the upstreams is over.
set -euo pipefail
cd "$(dirname "$0")/.."
. scripts/lib.sh

workers=${WORKERS:-300}
export BRAMLEY_WORK=200ms
export DURATION=15s
export CALLER_ARGS="--orders $((workers * 3 / 4)) --sheets $((workers / 4)) --pause 400ms --feeds 60 --downloads 1"

deployment_start "${1:-agencia}"
sleep 32
load_start
sleep 3
sed 's/retry_after: 200ms/retry_after: 250ms/' "$work/tree.yaml" > "$work/tree-2.yaml"
publish "$work/tree-2.yaml"
load_wait
flows_sample
verdict
