#!/usr/bin/env bash
# Guards the seam: names of the users' platform stand in platform/ and in the
# deploy files only, so that another platform needs another adapter and nothing
# else.
set -euo pipefail
cd "$(dirname "$0")/../.."
names='Parsleyplank-(Deadline|Expected|Server-Load|Not-Exec|Response-Seal|Tenant|Warmup|Instance-Id)|kv-(txn|range|watch|lease|keep)|pathPrefix|warmupPerS|routeType|trafficSplit'
if grep -rnE "$names" src apps tools; then
  echo "platform names outside platform/"
  exit 1
fi
lines=$(cat platform/*.cpp platform/*.hpp | wc -l)
if [ "$lines" -gt 1500 ]; then
  echo "platform/ has $lines lines; it only translates and stays under 1500"
  exit 1
fi
