#!/usr/bin/env bash
# Runs the nodes of the platform deployment against stand-ins on loopback, sends
# requests through each, restarts one and checks every answer.
set -euo pipefail
cd "$(dirname "$0")/.."
BUILD=${BUILD:-build}
scripts/install-packages.sh
cmake -S . -B "$BUILD" -G Ninja >/dev/null
cmake --build "$BUILD" -j "${JOBS:-4}" \
  --target hyssopford-sidecar hyssopford-platform-standin
exec python3 platform/standin/demo.py --build "$BUILD" "$@"
