#!/usr/bin/env bash
# Guards rollouts with real processes: a failing version is rolled back and a
# good version is done within its duration.
set -euo pipefail
cd "$(dirname "$0")/../.."
PLATFORM_PORT=22700
source scripts/local-fleet.sh
config=$fleet_dir/config
mkdir "$config"
cp examples/skuffedel/fleet.toml "$config/"
cp -r examples/skuffedel/katalog "$config/"
service=$config/katalog/service.toml

# new_version VERSION DURATION_S: gives the servers with even numbers the new
# version and orders a rollout to it.
new_version() {
  sed -i "s/\(katalog-[0-9]*[02468]\".*version = \)\"[0-9]*\"/\1\"$1\"/" "$service"
  sed -i '/^\[rollout\]/,$d' "$service"
  cat >>"$service" <<TOML
[rollout]
upstream = "katalog"
from = "1"
to = "$1"
duration_s = $2
first_share_percent = 1
TOML
}

# read_pages COUNT: sends COUNT requests, to the instances in turn.
read_pages() {
  local n
  for ((n = 0; n < $1; n++)); do
    entry_ports $((n % 3 + 1))
    echo "url = \"http://127.0.0.1:$caller_port/katalog/page-$n\""
    echo "output = /dev/null"
  done >"$fleet_dir/urls"
  curl -s --max-time 60 -H 'X-Api-Key: demo-key-verksted-oslo' -K "$fleet_dir/urls" \
    -w '%{http_code}\n' >>"$fleet_dir/codes" || true
}

rolled_back() {
  read_pages 60
  ctl rollout | grep -q rolled_back
}

rollout_done() {
  read_pages 60
  [ "$(ctl rollout | grep -c ': done')" -eq 3 ]
}

start_platform
start_backends "$service"
start_entry 1 1 oslo oslo-a
start_entry 2 1 bergen bergen-a
start_entry 3 1 trondheim trondheim-a
publish "$config" >/dev/null
wait_until 30 "fresh instances" all_fresh 3

echo "== A version that fails is rolled back"
for n in 2 4 6 8 10 12 14; do
  curl -sf "http://127.0.0.1:$((22000 + n))/standin/switch?fail_rate=1" >/dev/null
done
new_version 2 600
publish "$config" >/dev/null
wait_until 120 "roll-back" rolled_back
ctl rollout
status=0
ctl rollout wait katalog || status=$?
expect "exit status of rollout wait" "$status" 1

echo "== A good version is done within its duration"
for n in 2 4 6 8 10 12 14; do
  curl -sf "http://127.0.0.1:$((22000 + n))/standin/switch?fail_rate=0" >/dev/null
done
new_version 3 60
publish "$config" >/dev/null
wait_until 120 "end of the rollout" rollout_done
ctl rollout
ctl rollout wait katalog
expect "late rollouts" "$(ctl rollout | grep -c late)" 0
