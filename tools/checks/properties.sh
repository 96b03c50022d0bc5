#!/usr/bin/env bash
# Checks that each property test asserts the verdict of rc::check(): without an assertion, a property that does not hold
# is printed, but the test passes.
set -euo pipefail
cd "$(dirname "$0")/../.."
if grep -rnE '\brc::check\(' src platform tools --include='*.h' --include='*.cpp' | grep -v 'cr_assert(rc::check('; then
    echo "properties: the lines above drop the verdict of rc::check()"
    exit 1
fi
