#!/usr/bin/env bash
# Builds the programs of the cases into target/review.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review
go build -o target/review/ ./review/badid ./review/badrank ./review/extraanswer ./review/lostsignoff ./review/staleidentity
