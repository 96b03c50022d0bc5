#!/usr/bin/env bash
# Installs what is needed on a fresh Debian 12, builds, and runs flows and requests through three entry VMs on loopback.
set -euo pipefail
cd "$(dirname "$0")"
tools/checks/install.sh
cmake -S . -B build -G Ninja
cmake --build build
build/tools/radishbench/radishbench run steady --format=table
