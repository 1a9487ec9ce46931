#!/bin/sh
# Builds the program that runs the scripts of cases 11 to 15, with all stand-ins in it, into target/.
set -eu
cd "$(dirname "$0")/.."
go build -o target/review-3 ./review/tools-3
