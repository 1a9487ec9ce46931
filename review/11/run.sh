#!/bin/sh
# Replaces a machine of the core twice; later another one loses its disk, and at the end two more.
# With TROUBLE=0 it does the same without the disruption.
TROUBLE="${TROUBLE:-1}"
case "$TROUBLE" in
0 | 1) export TROUBLE ;;
*)
	echo "TROUBLE is 0 or 1" >&2
	exit 2
	;;
esac
cd "$(dirname "$0")/../.." || exit 2
exec target/review-3 twice-moved review/11
