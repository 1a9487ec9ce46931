#!/bin/sh
# Changes a large configuration as often as the users do in a day, and watches the memory of the portals.
# Exits with 1 if the rule was broken, 0 if it held and 2 if the case couldn't run. TROUBLE=0 leaves the growth of the configuration out.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/egretreach ] && [ -x target/review-stand2 ] || exit 2
exec target/review-stand2 memory review/9/record.txt
