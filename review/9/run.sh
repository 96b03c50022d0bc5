#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0: without the disruption.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/src/app/radishladderd ] && [ -x target/review-2/rig ] || { echo "build first: deploy file, review/build-2.sh"; exit 2; }
timeout 110 target/review-2/rig cold-return . review/9/record.txt
result=$?
[ $result -le 2 ] || result=2
exit $result
