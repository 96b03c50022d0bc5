#!/usr/bin/env bash
# Builds the stand-ins of the cases 6 to 10 into target/review-2/; needs the packages of the deploy file only.
set -euo pipefail
cd "$(dirname "$0")/.."
cmake -S review/rig-2 -B target/review-2 -DCMAKE_BUILD_TYPE=Release
cmake --build target/review-2 -j 4 --target rig
