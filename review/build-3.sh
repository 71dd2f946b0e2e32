#!/usr/bin/env bash
# Builds the stand-ins of this review into target/review-3/.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review-3
go build -o target/review-3/ ./review/standin-3
