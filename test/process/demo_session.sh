#!/usr/bin/env bash
# Guards the README's first command and the decisions of a whole session: runs
# the demo and compares its checked steps with the golden file.
set -euo pipefail
cd "$(dirname "$0")/../.."
golden=test/golden/demo_session.txt
log=$(mktemp /tmp/parsleyplank-demo.XXXXXX)
scripts/demo >"$log" 2>&1 || {
  cat "$log"
  exit 1
}
grep -E '^(==|  ok:)' "$log" | diff -u "$golden" - || {
  echo "The session differs from $golden"
  exit 1
}
