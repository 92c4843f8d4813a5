#!/usr/bin/env bash
# Fails if clang-format would change a source file. Generated code is left out.
set -euo pipefail
cd "$(dirname "$0")/.."
git ls-files --cached --others --exclude-standard '*.cpp' '*.hpp' |
  grep -v generated | xargs clang-format --dry-run --Werror
