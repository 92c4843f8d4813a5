#!/usr/bin/env bash
# A node that restarts while it is cut off from the other nodes grants a tenant's
# whole allotment beside them.
# Writes what was sent, answered and run to record.txt.
# Exit status: 0 the rule held, 1 it was broken, 2 the case could not run.
cd "$(dirname "$0")" || exit 2
exec python3 two_granters.py
