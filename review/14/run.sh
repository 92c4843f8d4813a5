#!/usr/bin/env bash
# A status report of another writer comes while a machine is stopped as planned.
# Writes what was sent, answered and run to record.txt.
# Exit status: 0 the rule held, 1 it was broken, 2 the case could not run.
cd "$(dirname "$0")" || exit 2
exec python3 other_writer.py
