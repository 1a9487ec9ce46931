#!/bin/sh
# Builds the stand-ins of the cases 6 to 10. Run it after the build line of deploy/system.toml.
set -eu
cd "$(dirname "$0")/.."
go build -o target/review-stand2 ./review/stand2
