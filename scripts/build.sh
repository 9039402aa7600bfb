#!/usr/bin/env bash
# Builds all targets in the given folder (default: build).
set -euo pipefail
cd "$(dirname "$0")/.."
build=${1:-build}
export CCACHE_BASEDIR=$PWD CCACHE_NOHASHDIR=1
cmake -S . -B "$build" -G Ninja >"/tmp/nutmeghinge-cmake.$$" || { cat "/tmp/nutmeghinge-cmake.$$"; exit 1; }
rm -f "/tmp/nutmeghinge-cmake.$$"
cmake --build "$build"
