#!/usr/bin/env bash
# Runs one deployment on loopback with more requests than its slots can take, and prints one closing line.
#
# usage: [WORKERS=N] scripts/overload.sh [agencia|wislanka]
#
# Each request takes 200 ms of a slot. The load starts after the slow start of the upstreams.
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
