#!/usr/bin/env bash
# Runs the benchmarks behind docs/CAPACITY.md and prints the results as one table.
set -euo pipefail
cd "$(dirname "$0")/.."
build=${BUILD:-build}
export CCACHE_BASEDIR=$PWD CCACHE_NOHASHDIR=1
[ -f "$build/build.ninja" ] || cmake -S . -B "$build" -G Ninja >/dev/null
cmake --build "$build" --target nutmeghinge-benchmarks >/dev/null
echo "$(date -u +%FT%TZ), $(nproc) cores, load average $(cut -d' ' -f1-3 /proc/loadavg)"
"$build/benchmarks/nutmeghinge-benchmarks" --benchmark_filter='^(capacity|heartbeatExchange)' --benchmark_min_time=0.2 --benchmark_counters_tabular=true 2>&1
