#!/usr/bin/env bash
# The stand-ins of the scripts are written in Python; this checks that they
# compile. The nodes come from the build of the deploy file.
set -euo pipefail
cd "$(dirname "$0")"
find . -name '*.py' -print0 | xargs -0 python3 -c '
import sys
for name in sys.argv[1:]:
    with open(name, encoding="utf-8") as file:
        compile(file.read(), name, "exec")
'
