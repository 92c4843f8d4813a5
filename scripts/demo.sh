#!/usr/bin/env bash
# Runs a small site on loopback, sends requests through several nodes, checks
# every answer and stops the site. With --keep it runs until Ctrl-C.
set -euo pipefail
cd "$(dirname "$0")/.."
BUILD=${BUILD:-build}
scripts/install-packages.sh
cmake -S . -B "$BUILD" -G Ninja >/dev/null
cmake --build "$BUILD" -j "${JOBS:-4}"
exec python3 scripts/lib/demo.py --build "$BUILD" "$@"
