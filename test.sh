#!/usr/bin/env bash
# Installs what is needed on a fresh Debian 12, builds, and runs every test.
set -euo pipefail
cd "$(dirname "$0")"
tools/checks/install.sh
cmake -S . -B build -G Ninja
cmake --build build
ctest --test-dir build --output-on-failure -j 4
grep -ah 'Synthesis' build/Testing/Temporary/LastTest.log
