#!/usr/bin/env bash
# Runs a case of the third review: run_case.sh PROGRAM RECORD. Exits with 1 if
# the rule was broken, 0 if it held, and 2 if the case couldn't run.
set -uo pipefail
cd "$(dirname "$0")/../.."
export EDGE=${EDGE:-target/bin/parsleyplank-edge}
program=${REVIEW_DIR:-target/review-3}/$1
[ -x "$EDGE" ] && [ -x "$program" ] || exit 2
dir=$(mktemp -d)
# Ends what an aborted run has left, by its id, unless that is of another
# process by now.
clean() {
  for pid in $(cat "$dir/pids" 2>/dev/null); do
    grep -qs "$dir" "/proc/$pid/cmdline" && kill -KILL "$pid"
  done
  rm -rf "$dir"
}
trap clean EXIT
timeout 115 "$program" "$dir" "$2"
result=$?
[ $result -le 1 ] || result=2
exit $result
