#!/usr/bin/env bash
# Checks the include rules: only a module and its tests include the module's internal/ folder, the framework includes no
# module, nothing outside src/app includes app, only app includes the platform adapter, and the names of the platform's keys
# and settings appear only in platform/.
set -euo pipefail
cd "$(dirname "$0")/../.."
status=0
fail() { echo "includes: $*"; status=1; }
modules=$(find src -mindepth 1 -maxdepth 1 -type d -printf '%f\n' | grep -vx -e framework -e app)
while IFS=: read -r file line include; do
    case "$file" in
        src/framework/*) owner=$(cut -d/ -f3 <<<"$file") ;;
        src/*) owner=$(cut -d/ -f2 <<<"$file") ;;
        *) owner=tools ;;
    esac
    header=$(sed -E 's/.*"([^"]+)".*/\1/' <<<"$include")
    target=${header%%/*}
    if [[ "$header" == */internal/* && "$target" != "$owner" ]]; then
        fail "$file:$line: $header is internal to $target"
    fi
    if [[ "$file" == src/framework/* ]] && grep -qx "$target" <<<"$modules"; then
        fail "$file:$line: the framework must not include $target"
    fi
    if [[ "$target" == app && "$owner" != app ]]; then
        fail "$file:$line: nothing includes app"
    fi
done < <(grep -rnE '^#include "' src tools --include='*.h' --include='*.cpp')
platform_words='kv-(key|range|watch|txn|lease|keep)|op/config|op/evacuate|warmup_left_ms"|listen_addrs|RADISHLADDER_SETTINGS'
if grep -rnE "$platform_words" src tools --include='*.h' --include='*.cpp'; then
    fail "the lines above contain names that are reserved for platform/"
fi
if grep -rnE '^#include "platform/' src --include='*.h' --include='*.cpp' | grep -v '^src/app/'; then
    fail "only app may include the adapter"
fi
exit $status
