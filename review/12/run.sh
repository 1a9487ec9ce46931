#!/bin/sh
# Replaces a machine of the core while another one is down; later two machines lose their disks.
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
exec target/review-3 stale-address review/12
