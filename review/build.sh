#!/usr/bin/env bash
# Builds the stand-ins and the programs of the cases into target/review/. Needs a C++ compiler and nlohmann-json, as the deploy file's build does.
set -euo pipefail
cd "$(dirname "$0")/.."
out=target/review
mkdir -p "$out"
flags=(-std=c++20 -O2 -Wall -Wextra -pthread -Ireview)
objects=()
for source in review/*.cpp; do
    object=$out/$(basename "$source" .cpp).o
    g++ "${flags[@]}" -c "$source" -o "$object"
    objects+=("$object")
done
for source in review/*/case.cpp; do
    [ -e "$source" ] || continue
    number=$(basename "$(dirname "$source")")
    g++ "${flags[@]}" "$source" "${objects[@]}" -o "$out/case-$number"
done
