#!/usr/bin/env bash
# Builds the fuzz target for the parsers of the platform adapter and of datagrams between VMs with clang and runs it with a fixed number of inputs.
set -euo pipefail
cd "$(dirname "$0")/../.."
cmake -S . -B build-fuzz -G Ninja -DCMAKE_CXX_COMPILER=clang++ -DCMAKE_BUILD_TYPE=Debug \
    -DRADISHLADDER_FUZZ=ON -DRADISHLADDER_SANITIZE=ON -DRADISHLADDER_TESTS=OFF -DRADISHLADDER_WERROR=OFF >/dev/null
cmake --build build-fuzz --target fuzz_platform -j "${JOBS:-4}"
build-fuzz/tools/fuzz/fuzz_platform -runs=200000 -seed=1 -max_len=1400 -print_final_stats=1
