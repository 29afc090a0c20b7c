#!/usr/bin/env bash
# Guards against requests that are cut off around a planned stop: a short soak
# with fixed seeds. Longer ones are started by hand, see test/soak/stop_soak.cpp.
set -euo pipefail
cd "$(dirname "$0")/../.."
build=${BUILD_DIR:-build}
dir=$(mktemp -d)
trap 'rm -rf "$dir"' EXIT
export EDGE=$build/apps/parsleyplank-edge/parsleyplank-edge
# soak SEED [HABIT] [GRACE_MS]
soak() {
  local seed=$1
  shift
  "$build/test/soak/stop-soak" "$dir/$seed" "$seed" 3 2 "$@" || {
    grep -v ' excused' "$dir/$seed/record.txt"
    grep -h 'event=\(requests_cut_off\|drain\)' "$dir/$seed"/edge-*.log
    exit 1
  }
}
soak 1
soak 2
# Requests that outlast a long grace time, which were passed on and cut off.
soak 4 all 10000
