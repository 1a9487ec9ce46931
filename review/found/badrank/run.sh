#!/usr/bin/env bash
# Runs a find that is not among the five cases. TROUBLE=0 leaves the disruption out.
cd "$(dirname "$0")/../../.." || exit 2
[ -x target/egretreach ] && [ -x target/review/badrank ] || { echo "build first: the build line of deploy/system.toml, review/build.sh"; exit 2; }
RECORD="$PWD/review/found/badrank/record.txt" BINARY="$PWD/target/egretreach" exec target/review/badrank
