#!/usr/bin/env bash
# Measures CPU time and memory of idle nodes at several site sizes, on loopback.
set -euo pipefail
cd "$(dirname "$0")/.."
exec timeout 600 python3 scripts/lib/idle_cost.py --build "${BUILD:-build}" "$@"
