#!/usr/bin/env bash
# Injects seeded faults into real nodes on loopback. `build/tests/soak --help` lists the options.
set -euo pipefail
cd "$(dirname "$0")/.."
[ -x build/tests/soak ] || bash scripts/build.sh build
exec build/tests/soak "$@"
