#!/usr/bin/env bash
# Builds what the scripts of review/11 and later start. The programs of the
# project come from the build of deploy/system.toml. The stand-ins are Python
# programs without dependencies, in review/lib-3, so they are only checked.
set -euo pipefail
cd "$(dirname "$0")/.."
python3 -c 'import sys
for name in sys.argv[1:]:
    compile(open(name, encoding="utf-8").read(), name, "exec")' \
  review/lib-3/*.py review/1[2-5]/*.py
