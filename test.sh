#!/usr/bin/env bash
# Installs the required packages on a fresh Debian 12, builds, and runs all tests.
set -euo pipefail
cd "$(dirname "$0")"
tools/checks/install.sh
cmake -S . -B build -G Ninja
cmake --build build
tools/checks/runtests.sh build
