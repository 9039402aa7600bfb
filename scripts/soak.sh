#!/usr/bin/env bash
# Plays seeded faults against real nodes on loopback; options as `build/tests/soak --help` says.
set -euo pipefail
cd "$(dirname "$0")/.."
[ -x build/tests/soak ] || bash scripts/build.sh build
exec build/tests/soak "$@"
