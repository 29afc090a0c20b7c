#!/usr/bin/env bash
# Runs the driver of a case: run_driver.sh DRIVER CASE-FOLDER. The driver starts
# the project's programs, ends them, and exits with 1 if the rule was broken, 0
# if it held, and 2 if the case couldn't run.
set -u
folder=$(cd "$2" && pwd)
cd "$(dirname "$0")/.." || exit 2
driver=target/review/$1
export EDGE=target/bin/parsleyplank-edge
[ -x "$driver" ] && [ -x "$EDGE" ] || { echo "not built" >&2; exit 2; }
temporary=$(mktemp -d) || exit 2
trap 'rm -rf "$temporary"' EXIT
"$driver" "$temporary" "$folder/record.txt"
status=$?
[ "$status" -le 2 ] || status=2
exit "$status"
