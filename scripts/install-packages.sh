#!/usr/bin/env bash
# Installs the packages for the build, the tests and the checks on Debian 12.
set -euo pipefail
PACKAGES=(g++ cmake ninja-build ccache clang-format clang-tidy python3
  libpoco-dev libssl-dev libflatbuffers-dev libboost-dev libtclap-dev libfmt-dev
  nlohmann-json3-dev libxxhash-dev libbenchmark-dev catch2
  libtrompeloeil-cpp-dev)
if ! dpkg-query -W "${PACKAGES[@]}" >/dev/null 2>&1; then
  apt-get update -qq
  DEBIAN_FRONTEND=noninteractive apt-get install -y -qq "${PACKAGES[@]}"
fi
