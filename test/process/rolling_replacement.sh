#!/usr/bin/env bash
# Guards planned maintenance across whole processes: all entry instances are
# replaced one after the other under a steady load of reads and orders. No
# request may be cut off or left without a result or a true "not run" refusal,
# and no order may run twice.
set -euo pipefail
cd "$(dirname "$0")/../.."
PLATFORM_PORT=26700
source scripts/local-fleet.sh
copy_services examples/skuffedel 9000
services=$fleet_dir/services
# A short time to live keeps the drains short.
sed -i 's/^lookup_ttl_ms = .*/lookup_ttl_ms = 1000/' "$services/fleet.toml"
places=("" "oslo oslo-a" "oslo oslo-b" "bergen bergen-a" "bergen bergen-b"
  "trondheim trondheim-a" "trondheim trondheim-b")
instances=6

cat >"$fleet_dir/load.toml" <<'TOML'
name = "rolling-replacement"
duration_s = 5
seed = 3

[[region]]
id = "oslo"
client = "10.110.7.7"

[[region]]
id = "bergen"
client = "10.120.7.7"

[[region]]
id = "trondheim"
client = "10.130.7.7"

[[customer]]
id = "verksted-oslo"
key = "demo-key-verksted-oslo"
rate_per_s = 40
rate_limit_per_s = 240
burst = 480

[[customer]]
id = "verksted-bergen"
key = "demo-key-verksted-bergen"
rate_per_s = 20
rate_limit_per_s = 200
burst = 400

[[route]]
id = "katalog"
method = "GET"
path = "/katalog/spring-40"
weight = 3
execution = "idempotent"
keep_connections = false

[[route]]
id = "ordre"
method = "POST"
path = "/ordre"
body_bytes = 100
execution = "at_most_once"
repeat_probability = 0.1
timeout_ms = 15000
TOML

# True if all instances are fresh and hold at least half of an even share. While
# a successor holds less, the instances of its region can't do without the next
# one: callers would be refused with no_capacity.
all_ready() {
  all_fresh $instances && [ "$(ctl status |
    sed -n 's/.* share \([0-9]*\).*/\1/p' |
    awk -v least=$((500000 / instances)) '$1 >= least' | wc -l)" -eq $instances ]
}

start_platform
for service in katalog ordre; do
  start_backends "$services/$service/service.toml"
done
# Slow enough that each instance has requests in flight at any time: a stop that
# cuts them off shows.
while read -r port; do
  wait_until 10 "slowing down of backend server $port" curl -sf -X POST -d '' \
    "http://127.0.0.1:$port/standin/switch?latency_ms=100"
done < <(sed -n 's/^ *{ id = .*port = \([0-9]*\),.*/\1/p' \
  "$services/katalog/service.toml" "$services/ordre/service.toml")
entries=()
for ((n = 1; n <= instances; n++)); do
  # shellcheck disable=SC2086
  start_entry $n 1 ${places[n]}
  entries+=(--entry "127.0.0.1:$caller_port")
done
publish "$services" >/dev/null

wait_until 60 "even shares" all_ready

# Short runs follow each other until the replacement is done, so that its
# duration does not matter.
steady_load() {
  local run=0
  while [ ! -e "$fleet_dir/replaced" ] && [ $run -lt 100 ]; do
    run=$((run + 1))
    load run "$fleet_dir/load.toml" "${entries[@]}" --run-id "run-$run" \
      --out "$fleet_dir/run-$run.json" --orders "$fleet_dir/run-$run.orders" \
      >"$fleet_dir/run-$run.table" || return 1
  done
}
steady_load &
pids[load]=$!

is_gone() {
  ! kill -0 "$1" 2>/dev/null
}

for ((n = 1; n <= instances; n++)); do
  old=${pids[entry-$n]}
  ctl drain "entry-$n" >/dev/null
  # shellcheck disable=SC2086
  list_entry $n 1 ${places[n]} true
  wait_until 60 "end of the drained entry-$n" is_gone "$old"
  wait "$old" || fail "entry-$n ended with status $?"
  grep -q 'Drained with 0 requests left' "$fleet_dir/entry-$n.log" ||
    fail "entry-$n stopped with requests left"
  mv "$fleet_dir/entry-$n.log" "$fleet_dir/entry-$n-first.log"
  unlist_entry $n
  # shellcheck disable=SC2086
  start_entry $n 2 ${places[n]}
  wait_until 60 "even shares after the start of entry-$n" all_ready
  echo "  ok: entry-$n replaced"
done
touch "$fleet_dir/replaced"
wait "${pids[load]}" || fail "the load program failed"
unset 'pids[load]'

# Field 2 to 5 of the line of totals: sent, result, not run, unknown.
awk '$1 == "total" { for (i = 2; i <= 5; i++) sum[i] += $i }
  /^not run, / { sub(/^not run, /, ""); reason[$1] += $2 }
  /^worst served/ { sub(/.*attempts cut off: /, ""); cut += $1 }
  END {
    print sum[2], sum[3], sum[4], sum[5], cut
    for (r in reason) print "  not run,", r, reason[r] > "/dev/stderr"
  }' "$fleet_dir"/run-*.table >"$fleet_dir/totals"
read -r sent results not_run unknown cut_off <"$fleet_dir/totals"
echo "  $sent sent, $results results, $not_run not run"
[ "$results" -gt 0 ] || fail "no request got a result"
expect "every request is accounted for" $((results + not_run + unknown)) "$sent"
expect "requests without a result or a true refusal" "$unknown" 0
expect "attempts cut off" "$cut_off" 0

# Executions of each order over all backend servers, compared with its outcome.
while read -r port; do
  curl -sf "http://127.0.0.1:$port/standin/executions" |
    grep -o '"run-[^"]*":[0-9]*' | tr -d '"' | tr ':' ' ' || true
done < <(sed -n 's/^ *{ id = .*port = \([0-9]*\),.*/\1/p' \
  "$services/ordre/service.toml") >"$fleet_dir/executions"
awk 'FNR == NR { runs[$1] += $2; next }
  { seen[$1] = 1; if ($2 == "result") result[$1] = 1 }
  END {
    for (key in runs) if (runs[key] > 1) { print key, runs[key], "runs"; bad++ }
    for (key in seen) {
      orders++
      if (key in result && runs[key] != 1) { print key, "result,", runs[key] + 0, "runs"; bad++ }
      if (!(key in result) && runs[key] > 0) { print key, "not run, but ran"; bad++ }
    }
    print "  " orders " orders, " bad + 0 " with wrong executions"
    exit bad > 0 || orders == 0
  }' "$fleet_dir/executions" "$fleet_dir"/run-*.orders ||
  fail "orders ran twice or an outcome was not true"
