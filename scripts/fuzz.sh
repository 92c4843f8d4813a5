#!/usr/bin/env bash
# Feeds randomly mutated messages to the HTTP reader and the frame decoder under
# sanitizers. ROUNDS sets the number of messages, SEED the seed of the random
# generator.
set -euo pipefail
cd "$(dirname "$0")/.."
BUILD=${BUILD:-build-fuzz}
cmake -S . -B "$BUILD" -G Ninja -DHYSSOPFORD_SANITIZE=address,undefined >/dev/null
cmake --build "$BUILD" -j "${JOBS:-4}" --target net_tests
HYSSOPFORD_FUZZ_ROUNDS=${ROUNDS:-1000000} \
  HYSSOPFORD_FUZZ_SEED=${SEED:-$(date +%s)} "$BUILD/tests/net_tests" "[fuzz]"
