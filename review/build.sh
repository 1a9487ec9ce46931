#!/usr/bin/env bash
# Builds the programs of the cases into target/review.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review
go build -o target/review/ ./review/case1 ./review/case2 ./review/case3 ./review/case4
