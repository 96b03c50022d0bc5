#!/usr/bin/env bash
# Installs what is needed on a fresh Debian 12, builds, and runs four entry VMs on loopback between stand-ins.
set -euo pipefail
cd "$(dirname "$0")"
tools/checks/install.sh
cmake -S . -B build -G Ninja
cmake --build build
build/tools/radishbench/radishbench demo --duration=10s
