#!/usr/bin/env bash
# Scores the users' deployments with their bench and prints one line for each day. It fails if a rule is broken or a
# gate is not passed.
#
# usage: BENCH=PROGRAM DEPLOYMENTS=DIRECTORY scripts/regression.sh [OPTION...]
# The options are passed to the bench, for example --quick or --jobs 3.
set -euo pipefail
cd "$(dirname "$0")/.."

# The deployments of the milestones in force. Each replaces earlier ones of the same customer.
sites=(
  grown/adqs-dosif-grown
  grown/wislanka-rack-grown
  further/hikari-kyushu
  further-grown/hikari-kyushu-grown
  large/adqs-dosif-large
  shifted/adqs-dosif-now-grown
  demands/clochan-render-grown
  demands/takakopa-lb-grown
)

: "${BENCH:?set BENCH to the program of the bench}"
: "${DEPLOYMENTS:?set DEPLOYMENTS to the directory of the deployments}"

failed=0
for site in "${sites[@]}"; do
  echo "== $site"
  output=$("$BENCH" score "$DEPLOYMENTS/$site.toml" "$@" --why "regression run") || failed=1
  grep -E '^(score|quiet|trouble|scale|fresh|GATE)' <<< "$output" || true
  grep -q '^GATE passed' <<< "$output" || failed=1
done
exit "$failed"
