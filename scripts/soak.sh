#!/usr/bin/env bash
# Runs node processes against stand-ins under random faults:
# scripts/soak.sh [argument...]
# docs/soak.md lists the arguments.
set -euo pipefail
cd "$(dirname "$0")/.."
BUILD=${BUILD:-build}
cmake -S . -B "$BUILD" -G Ninja >/dev/null
cmake --build "$BUILD" -j "${JOBS:-4}" \
  --target hyssopford-sidecar hyssopford-platform-standin
exec python3 tests/platform/soak/soak.py --build "$BUILD" "$@"
