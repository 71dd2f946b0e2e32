#!/bin/bash
# Builds the stand-ins that the scripts of the cases 6 to 10 start. Run it after the build of the deploy file.
set -e
cd "$(dirname "$0")/.."
mkdir -p target/review-2
go build -trimpath -o target/review-2/ ./review/standin-2
