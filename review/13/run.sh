#!/usr/bin/env bash
# The first report of an instance that has left arrives late, at a restarted node.
# Writes what was sent, answered and run to record.txt.
# Exit status: 0 the rule held, 1 it was broken, 2 the case could not run.
cd "$(dirname "$0")" || exit 2
exec python3 late_first_report.py
