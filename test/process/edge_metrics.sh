#!/usr/bin/env bash
# Tests an edge process that has not reached its store yet: the health check
# fails, callers get status 503 with a Retry-After header, the metrics count the
# refusal under its reason, and a stop signal ends the process with status 0.
set -euo pipefail
cd "$(dirname "$0")/../.."
build=${BUILD_DIR:-build}
dir=$(mktemp -d)
trap 'rm -rf "$dir"; kill "$pid" 2>/dev/null || true' EXIT
pid=
cat > "$dir/edge.toml" <<'T'
[instance]
id = "edge-1"
region = "oslo"
failure_domain = "oslo-a"
address = "127.0.0.1"
[listen]
callers = "127.0.0.1:20911"
readiness = "127.0.0.1:20912"
directory = "127.0.0.1:20913"
admin = "127.0.0.1:20914"
peer_port = 20915
[store]
address = "127.0.0.1:20917"
[bounds]
grace = "2s"
T
"$build/apps/parsleyplank-edge/parsleyplank-edge" "$dir/edge.toml" \
  > "$dir/log" 2>&1 &
pid=$!
ctl() { "$build/apps/parsleyplank-ctl/parsleyplank-ctl" "$@"; }
for _ in $(seq 200); do
  ctl metrics 127.0.0.1:20914 > /dev/null 2>&1 && break
  sleep 0.1
done
status() { curl -s -o /dev/null -D "$dir/head" -w '%{http_code}' "$1"; }
[ "$(status http://127.0.0.1:20912/readyz)" = 503 ]
[ "$(status http://127.0.0.1:20911/orders/1)" = 503 ]
grep -qi '^retry-after: ' "$dir/head"
ctl metrics 127.0.0.1:20914 |
  grep -q 'parsleyplank_refusals_total{reason="stale_state"} 1'
curl -s http://127.0.0.1:20914/metrics > "$dir/metrics"
grep -q 'parsleyplank_peer_bytes_sent_total{kind="digest"} 0' "$dir/metrics"
kill -TERM "$pid"
wait "$pid"
grep -q 'event=start instance=edge-1' "$dir/log"
grep -q 'event=store_lost' "$dir/log"
grep -q 'reason=stale_state' "$dir/log"
grep -q 'event=stop instance=edge-1' "$dir/log"
