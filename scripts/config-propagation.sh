#!/usr/bin/env bash
# Submits 200 patches to 60 node processes on loopback while 20 of them restart,
# and fails if a version takes more than 3 s to come into force on every node.
# Needs an existing build; runs 62 processes for about 1 minute. Options:
# --nodes, --patches, --restarts.
set -euo pipefail
cd "$(dirname "$0")/.."
exec timeout 600 python3 scripts/lib/config_propagation.py \
  --build "${BUILD:-build}" "$@"
