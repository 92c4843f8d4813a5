#!/usr/bin/env bash
# Records traces/*.jsonl from demo sites on loopback. Needs an existing build.
set -euo pipefail
cd "$(dirname "$0")/.."
BUILD=${BUILD:-build}
exec python3 scripts/lib/record_traces.py --build "$BUILD" "$@"
