#!/usr/bin/env bash
# Installs the Debian packages that are needed to build and test; does nothing if all are installed.
set -euo pipefail
packages=(
    g++ cmake make ninja-build pkg-config clang-format clang-tidy clang libclang-rt-14-dev
    libabsl-dev libcriterion-dev libevent-dev libjsoncpp-dev librapidcheck-dev libxxhash-dev
    prometheus-cpp-dev zlib1g-dev
)
missing=()
for package in "${packages[@]}"; do
    dpkg-query -W -f='${Status}' "$package" 2>/dev/null | grep -q 'install ok installed' || missing+=("$package")
done
if [ ${#missing[@]} -gt 0 ]; then
    export DEBIAN_FRONTEND=noninteractive
    apt-get update -q
    apt-get install -y -q --no-install-recommends "${missing[@]}"
fi
