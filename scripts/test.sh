#!/usr/bin/env bash
# Runs all tests. The tests listed in KNOWN-RED.txt run separately: their results are printed, but do not fail the
# run.
#
# An entry of KNOWN-RED.txt is one line: test | package | command and seed | what was seen | issue.
set -euo pipefail
cd "$(dirname "$0")/.."

entries=$(grep -v -e '^#' -e '^$' KNOWN-RED.txt || true)
if [ -z "$entries" ]; then
  exec go test -count=1 ./...
fi

names=$(cut -d'|' -f1 <<< "$entries" | tr -d ' ' | paste -sd'|')
go test -count=1 -skip "^($names)\$" ./...
echo "known red:"
while IFS='|' read -r name package rest; do
  echo "$name |$package|$rest"
  go test -count=1 -run "^${name// /}\$" "${package// /}" || true
done <<< "$entries"
