#!/usr/bin/env bash
# Builds everything and runs all tests.
set -euo pipefail
cd "$(dirname "$0")/.."
BUILD=${BUILD:-build}
cmake -S . -B "$BUILD" -G Ninja >/dev/null
cmake --build "$BUILD"
ctest --test-dir "$BUILD" --output-on-failure
