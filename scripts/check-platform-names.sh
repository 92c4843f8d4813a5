#!/usr/bin/env bash
# Fails if a header, path or field name of the platform occurs outside the
# folders that translate it.
set -euo pipefail
cd "$(dirname "$0")/.."
NAMES='X-Attempt-Id|X-Deadline-Ms|X-Server-Signature|X-Expected-Instance'
NAMES+='|X-Server-Load|X-Not-Executed|X-Caller-Service|X-Instance-Id'
NAMES+='|/hyssopford/(readiness|instances|kv-)|kv-(key|range|watch|txn|lease|keep)'
NAMES+='|trafficSplit|targetLatencyS|timeoutS|maxAttempts|coldRemainingS'
NAMES+='|heartbeatUrl|storeRevision|HYSSOPFORD_SETTINGS|op/config'
NAMES+='|X-Credential|X-Tenant|X-Cold-Ms|apiKeys|coldPerS|op/evacuate'
if git grep -nE "$NAMES" -- include src tools standins tests examples schema \
  ':!tests/platform'; then
  echo "names of the platform found outside platform/, tests/platform and deploy/" >&2
  exit 1
fi
