#!/bin/sh
# Another writer sends a heartbeat of an unknown service for the address of each server.
cd "$(dirname "$0")/../.." || exit 2
exec target/review-3 other-writer review/15
