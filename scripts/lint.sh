#!/usr/bin/env bash
# Runs clang-tidy on all sources or on the given files. Needs a configured build folder.
set -euo pipefail
cd "$(dirname "$0")/.."
build=${BUILD:-build}
files=("$@")
if [ "${#files[@]}" -eq 0 ]; then
    mapfile -t files < <(git ls-files -co --exclude-standard -- '*.cpp')
fi
printf '%s\0' "${files[@]}" | xargs -0 -n 1 -P "$(nproc)" clang-tidy -p "$build" --quiet 2> >(grep -v 'warnings generated' >&2 || true)
