#!/usr/bin/env bash
# Lets one kind of callers loose on processes of parsleyplank-edge, and prints
# what the processes logged if a check fails.
set -euo pipefail
cd "$(dirname "$0")/../.."
build=${BUILD_DIR:-build}
dir=$(mktemp -d)
trap 'rm -rf "$dir"' EXIT
export EDGE=$build/apps/parsleyplank-edge/parsleyplank-edge
"$build/test/callers/hostile-callers" "$dir" "$1" || {
  tail -n 20 "$dir"/*/edge-1.log
  exit 1
}
