#!/usr/bin/env bash
# Tests the check of the settings file: a valid file passes, and for an invalid
# one each problem is reported with its line, at exit status 2. Also guards
# against a process that a reload signal ends while it still starts.
set -euo pipefail
cd "$(dirname "$0")/../.."
edge=${BUILD_DIR:-build}/apps/parsleyplank-edge/parsleyplank-edge
dir=$(mktemp -d)
trap 'rm -rf "$dir"' EXIT
cat > "$dir/good.toml" <<'T'
[instance]
id = "edge-1"
region = "oslo"
failure_domain = "oslo-a"
address = "127.0.0.1"
[listen]
callers = "127.0.0.1:20901"
readiness = "127.0.0.1:20902"
directory = "127.0.0.1:20903"
peer_port = 20904
[store]
address = "127.0.0.1:20905"
[failure_domains]
oslo-a = "oslo"
[bounds]
contact = "4000ms"
grace = "6s"
T
"$edge" --check "$dir/good.toml"
sed -e 's/20901"/0"/' -e 's/"4000ms"/"soon"/' -e 's/grace/grase/' \
  "$dir/good.toml" > "$dir/bad.toml"
status=0
"$edge" --check "$dir/bad.toml" 2> "$dir/problems" || status=$?
[ "$status" -eq 2 ]
grep -q "bad.toml:7: \[listen\] callers must be IP:PORT" "$dir/problems"
grep -q "bad.toml:16: \[bounds\] contact must be a number with ms or s" \
  "$dir/problems"
grep -q "bad.toml:17: \[bounds\] unknown key 'grase'" "$dir/problems"

# The process waits in its start until the other end of the pipe is closed.
mkfifo "$dir/pipe.toml"
"$edge" --check "$dir/pipe.toml" &
pid=$!
exec 3> "$dir/pipe.toml"
kill -HUP "$pid"
cat "$dir/good.toml" >&3
exec 3>&-
wait "$pid"
