#!/usr/bin/env bash
# The stand-ins of the second review are Python programs in review/lib-2 and
# beside each case: there is nothing to compile. Checks what they need.
set -euo pipefail
cd "$(dirname "$0")/.."
PYTHONDONTWRITEBYTECODE=1 python3 -c 'import sys
assert sys.version_info >= (3, 9), "Python 3.9 or later is needed"
sys.path.insert(0, "review/lib-2")
import bed'
