#!/usr/bin/env bash
# Feeds randomly mutated messages to the HTTP reader and the frame decoder, and
# additional bytes of upstreams to their client, under sanitizers. ROUNDS sets
# the number of messages, of which the client gets one in 200, SEED the seed of
# the random generator.
set -euo pipefail
cd "$(dirname "$0")/.."
BUILD=${BUILD:-build-fuzz}
cmake -S . -B "$BUILD" -G Ninja -DHYSSOPFORD_SANITIZE=address,undefined >/dev/null
cmake --build "$BUILD" -j "${JOBS:-4}" --target \
  net_tests platform_tests
export HYSSOPFORD_FUZZ_ROUNDS=${ROUNDS:-1000000}
export HYSSOPFORD_FUZZ_SEED=${SEED:-$(date +%s)}
"$BUILD/tests/net_tests" "[fuzz]"
"$BUILD/tests/platform_tests" "[fuzz]"
