#!/usr/bin/env bash
# Installs the required packages on a fresh Debian 12, builds, and runs four VMs on loopback with stand-ins of clients,
# upstreams and the store.
set -euo pipefail
cd "$(dirname "$0")"
tools/checks/install.sh
cmake -S . -B build -G Ninja
cmake --build build
build/tools/radishbench/radishbench demo --duration=10s
