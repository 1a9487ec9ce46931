#!/bin/sh
# Replaces a machine of the core twice; later another one loses its disk, and at the end two more.
cd "$(dirname "$0")/../.." || exit 2
exec target/review-3 twice-moved review/11
