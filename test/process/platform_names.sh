#!/usr/bin/env bash
# Checks that src, apps and tools contain no names of the users' platform, so
# that support for another platform needs only another adapter. Such names
# belong in platform/ and in the deploy files.
set -euo pipefail
cd "$(dirname "$0")/../.."
names='Parsleyplank-(Deadline|Expected|Server-Load|Not-Exec|Response-Seal|Tenant|Warmup|Instance-Id)|kv-(txn|range|watch|lease|keep)|pathPrefix|warmupPerS|routeType|trafficSplit'
if grep -rnE "$names" src apps tools; then
  echo "names of the users' platform found outside platform/"
  exit 1
fi
lines=$(cat platform/*.cpp platform/*.hpp | wc -l)
if [ "$lines" -gt 1500 ]; then
  echo "platform/ has $lines lines, but the adapter may have at most 1500"
  exit 1
fi
