#!/usr/bin/env bash
# An instance fails a request that it has run with 503: is it passed on as one?
# Writes what was sent, answered and run to record.txt.
# Exit status: 0 the rule held, 1 it was broken, 2 the case could not run.
cd "$(dirname "$0")" || exit 2
exec python3 failed_with_503.py
