#!/usr/bin/env bash
# Builds the stand-ins of the review's scripts. The programs of the system are built by the deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p review/bin
go build -o review/bin/ ./review/standin
