#!/usr/bin/env bash
# Runs the case once: exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run. TROUBLE=0 leaves out
# the disruption. Needs the build of the deploy file and review/build.sh.
set -u
folder="$(cd "$(dirname "$0")" && pwd)"
cd "$folder/../.." || exit 2
[ -x target/review/lab ] && [ -x target/src/app/radishladderd ] || exit 2
timeout -k 3 115 target/review/lab listing target/src/app/radishladderd "$folder"
status=$?
[ "$status" -le 1 ] && exit "$status"
exit 2
