#!/usr/bin/env bash
# Submits 200 patches to 60 node processes on loopback while 20 of them restart,
# and fails if any version takes more than 3 s to be in force on every node.
# Needs a build; about 1 minute and 62 processes. Options: --nodes, --patches,
# --restarts.
set -euo pipefail
cd "$(dirname "$0")/.."
exec timeout 600 python3 scripts/lib/config_propagation.py \
  --build "${BUILD:-build}" "$@"
