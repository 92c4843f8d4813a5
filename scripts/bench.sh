#!/usr/bin/env bash
# Measures added latency, throughput, CPU and memory on loopback; prints one
# JSON object per line.
set -euo pipefail
cd "$(dirname "$0")/.."
BUILD=${BUILD:-build}
cmake -S . -B "$BUILD" -G Ninja >/dev/null
cmake --build "$BUILD" -j "${JOBS:-4}" >/dev/null
exec python3 scripts/lib/bench.py --build "$BUILD" "$@"
