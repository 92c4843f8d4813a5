#!/usr/bin/env bash
# Builds everything, or only the targets named in TARGETS, with a sanitizer and
# runs all tests, or those that the ctest arguments select:
# scripts/sanitize.sh address|undefined|address,undefined|thread [ctest
# argument...]
set -euo pipefail
cd "$(dirname "$0")/.."
case "${1:-}" in
address | undefined | address,undefined | thread) ;;
*)
  echo "usage: scripts/sanitize.sh address|undefined|address,undefined|thread [ctest argument...]" >&2
  exit 2
  ;;
esac
SANITIZER=$1
shift
BUILD="build-$SANITIZER"
cmake -S . -B "$BUILD" -G Ninja -DHYSSOPFORD_SANITIZE="$SANITIZER" \
  -DCMAKE_BUILD_TYPE=RelWithDebInfo >/dev/null
read -ra BUILD_TARGETS <<<"${TARGETS:-all}"
cmake --build "$BUILD" -j "${JOBS:-4}" --target "${BUILD_TARGETS[@]}"
# A report of the sanitizer ends the program, so that the test fails.
export ASAN_OPTIONS=halt_on_error=1:detect_leaks=1
export UBSAN_OPTIONS=halt_on_error=1:print_stacktrace=1
export TSAN_OPTIONS=halt_on_error=1:second_deadlock_stack=1
CONSUMER_FLAGS="-fsanitize=$SANITIZER" \
  ctest --test-dir "$BUILD" --output-on-failure "$@"
