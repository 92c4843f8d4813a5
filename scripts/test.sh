#!/usr/bin/env bash
# Installs the packages if they are missing, builds everything and runs all
# tests.
set -euo pipefail
cd "$(dirname "$0")/.."
BUILD=${BUILD:-build}
scripts/install-packages.sh
cmake -S . -B "$BUILD" -G Ninja >/dev/null
cmake --build "$BUILD"
ctest --test-dir "$BUILD" --output-on-failure
