#!/usr/bin/env bash
# Builds what the scripts of the second review start, beside the program of the deploy file:
# one program with the stand-ins of the platform, the servers and the callers.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target
go build -o target/review-2 ./review/harness
