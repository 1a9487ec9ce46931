#!/bin/sh
# Replaces a machine of the core while another one is down; later two machines lose their disks.
cd "$(dirname "$0")/../.." || exit 2
exec target/review-3 stale-address review/12
