#!/usr/bin/env bash
# Installs missing build dependencies with apt-get.
set -euo pipefail
packages=(git g++ cmake ninja-build ccache pkg-config clang-format clang-tidy curl libssl-dev
    libuv1-dev libh2o-dev libcapnp-dev libspdlog-dev libyaml-cpp-dev libxxhash-dev
    nlohmann-json3-dev libboost-dev libboost-program-options-dev
    catch2 librapidcheck-dev libbenchmark-dev)
missing=()
for package in "${packages[@]}"; do
    dpkg-query -W -f='${Status}' "$package" 2>/dev/null | grep -q 'ok installed' || missing+=("$package")
done
[ "${#missing[@]}" -eq 0 ] && exit 0
apt-get update -qq
DEBIAN_FRONTEND=noninteractive apt-get install -y -qq --no-install-recommends "${missing[@]}" >/dev/null
