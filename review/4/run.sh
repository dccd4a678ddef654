#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0 leaves the disruption out.
cd "$(dirname "$0")/../.." || exit 2
NODE_COMMAND=$(sed -n 's/^run = "\(.*\)"$/\1/p' deploy/system.toml)
export NODE_COMMAND
[ -x target/review-standin2 ] && [ -n "$NODE_COMMAND" ] || exit 2
target/review-standin2 4 review/4/record.txt
