#!/usr/bin/env bash
# Guards against a process that ends by a fatal signal and leaves no trace of
# where it was: the signal and the call stack are written to standard error, and
# the exit status is that of the signal.
set -euo pipefail
cd "$(dirname "$0")/../.."
edge=${BUILD_DIR:-build}/apps/parsleyplank-edge/parsleyplank-edge
dir=$(mktemp -d)
trap 'rm -rf "$dir"' EXIT

for signal in SEGV ABRT; do
  # The process waits for its settings until the other end of the pipe is closed.
  mkfifo "$dir/$signal"
  "$edge" --check "$dir/$signal" 2> "$dir/$signal.log" &
  pid=$!
  exec 3> "$dir/$signal"
  kill -"$signal" "$pid"
  status=0
  wait "$pid" || status=$?
  exec 3>&-
  number=$(kill -l "$signal")
  [ "$status" -eq $((128 + number)) ]
  grep -q "^event=crash signal=$number address=0x" "$dir/$signal.log"
  grep -q 'parsleyplank-edge(+0x[0-9a-f]*)' "$dir/$signal.log"
done
