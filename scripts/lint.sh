#!/usr/bin/env bash
# Runs clang-tidy on all sources, or on the files given as arguments.
set -euo pipefail
cd "$(dirname "$0")/.."
BUILD=${BUILD:-build}
cmake -S . -B "$BUILD" -G Ninja >/dev/null
if [ $# -gt 0 ]; then
  FILES=("$@")
else
  mapfile -t FILES < <(git ls-files --cached --others --exclude-standard \
    '*.cpp' | grep -v generated)
fi
printf '%s\0' "${FILES[@]}" |
  xargs -0 -n 1 -P "$(nproc)" clang-tidy -p "$BUILD" --quiet
