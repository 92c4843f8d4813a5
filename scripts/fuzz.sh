#!/usr/bin/env bash
# Feeds randomly mutated messages to the HTTP reader, the frame decoder and the
# readers of records of other programs under sanitizers. ROUNDS sets the number
# of messages, RECORDS that of records, SEED the seed of the random generator.
set -euo pipefail
cd "$(dirname "$0")/.."
BUILD=${BUILD:-build-fuzz}
cmake -S . -B "$BUILD" -G Ninja -DHYSSOPFORD_SANITIZE=address,undefined >/dev/null
cmake --build "$BUILD" -j "${JOBS:-4}" --target net_tests platform_tests
export HYSSOPFORD_FUZZ_SEED=${SEED:-$(date +%s)}
HYSSOPFORD_FUZZ_ROUNDS=${ROUNDS:-1000000} "$BUILD/tests/net_tests" "[fuzz]"
HYSSOPFORD_FUZZ_ROUNDS=${RECORDS:-100000} "$BUILD/tests/platform_tests" "[fuzz]"
