#!/usr/bin/env bash
# Builds the stand-ins of the cases 11 to 15 into target/review-3/; run after the build of the deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-3
flags="-std=c++20 -O2 -Wall -Wextra -Wno-missing-field-initializers $(pkg-config --cflags jsoncpp)"
common=(client deployment endpoint eventloop host packet router store vm)
objects=()
for unit in "${common[@]}"; do
    g++ $flags -c "review/rig-3/$unit.cpp" -o "target/review-3/$unit.o"
    objects+=("target/review-3/$unit.o")
done
for scenario in lostmember lostneighbours oldservice staleview; do
    g++ $flags "review/rig-3/$scenario.cpp" "${objects[@]}" -o "target/review-3/$scenario" $(pkg-config --libs jsoncpp)
done
