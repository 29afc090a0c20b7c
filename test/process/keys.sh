#!/usr/bin/env bash
# Guards against a withdrawn key that is still accepted: on an instance that was
# stopped (SIGSTOP) during the withdrawal, on an open connection, while watches
# deliver no events and while the store returns stale reads.
set -euo pipefail
cd "$(dirname "$0")/../.."
PLATFORM_PORT=24700
ENTRY_BASE_PORT=24800
source scripts/local-fleet.sh
copy_services examples/skuffedel 3000

# read_with NUMBER KEY: sends a read with the key to entry-NUMBER.
read_with() {
  call "$1" GET /katalog/spring-40 -H "X-Api-Key: $2"
}

# key_accepted NUMBER KEY: true if entry-NUMBER serves a read with the key.
key_accepted() {
  read_with "$@"
  [ "$status" = 200 ]
}

# key_refused NUMBER KEY: true if entry-NUMBER refuses the key as unknown.
key_refused() {
  read_with "$@"
  [ "$status $reason" = "401 unknown_key" ]
}

# withdraw KEY: withdraws the key and sets code and report to the exit status and
# the output. If all instances have confirmed (exit status 0), none may accept
# the key.
withdraw() {
  local n
  code=0
  report=$(printf '%s\n' "$1" | ctl key withdraw) || code=$?
  echo "  exit $code: ${report//$'\n'/ }"
  case $code in
  0) for n in 1 2 3; do
    read_with $n "$1"
    expect "withdrawn key at entry-$n" "$status $reason" "401 unknown_key"
  done ;;
  3) ;;
  *) fail "key withdraw exited with $code" ;;
  esac
}

# wait_until_refused NUMBER KEY: repeats the read until the key is refused as
# unknown. Fails if the key is accepted before that; other refusals, as of a
# stale state, are allowed.
wait_until_refused() {
  local n
  for ((n = 0; n < 300; n++)); do
    read_with "$@"
    [ "$status" != 200 ] || fail "entry-$1 accepted a withdrawn key"
    [ "$status $reason" != "401 unknown_key" ] || return 0
    sleep 0.1
  done
  fail "entry-$1 did not apply the withdrawal: $status $reason"
}

start_platform
start_backends "$services/katalog/service.toml"
start_entry 1 1 oslo oslo-a
start_entry 2 1 bergen bergen-a
start_entry 3 1 trondheim trondheim-a
publish "$services" >/dev/null
wait_until 60 "fresh instances" all_fresh 3
wait_until 60 "confirmed states" has_verdict confirmed 1 2 3

echo "== Open connection that continues to send"
entry_ports 2
# Line buffering writes the code of each response as it arrives.
stdbuf -oL curl -s -o /dev/null --rate 10/s -w '%{http_code} %{num_connects}\n' \
  -H 'Connection: keep-alive' -H 'X-Api-Key: demo-key-verksted-oslo' \
  "http://127.0.0.1:$caller_port/katalog/spring-[1-150]" >"$fleet_dir/codes" &
sender=$!
wait_until 30 "read on the open connection" grep -q '^200 0' "$fleet_dir/codes"
withdraw demo-key-verksted-oslo
wait_until 30 "refusal on the open connection" \
  grep -q '^401 0' "$fleet_dir/codes"
wait $sender
if sed '1,/^401/d' "$fleet_dir/codes" | grep -q '^200'; then
  fail "the key was accepted again on the open connection"
fi

echo "== Instance stopped during the withdrawal"
key_accepted 3 demo-key-verksted-bergen || fail "read before the withdrawal: $status"
kill -STOP "${pids[entry-3]}"
withdraw demo-key-verksted-bergen
expect "exit status" "$code" 3
grep -q 'unconfirmed: entry-3' <<<"$report" || fail "entry-3 is not named"
# This request waits in the socket until the instance continues.
entry_ports 3
curl -s -o /dev/null -w '%{http_code}\n' --max-time 20 \
  -H 'X-Api-Key: demo-key-verksted-bergen' \
  "http://127.0.0.1:$caller_port/katalog/spring-40" >"$fleet_dir/early" &
early=$!
sleep 0.3
kill -CONT "${pids[entry-3]}"
wait_until_refused 3 demo-key-verksted-bergen
wait $early || true
! grep -q 200 "$fleet_dir/early" || fail "the key of a waiting request was accepted"
echo "  ok: the early request got $(cat "$fleet_dir/early")"
wait_until 60 "fresh instances" all_fresh 3
wait_until 60 "confirmed states" has_verdict confirmed 1 2 3

echo "== Watch without events"
platform_fault silent_watch 1
key_accepted 1 demo-key-verksted-trondheim || fail "read before the withdrawal: $status"
withdraw demo-key-verksted-trondheim
for n in 1 2 3; do
  wait_until 30 "refusal at entry-$n" key_refused $n demo-key-verksted-trondheim
done
platform_fault silent_watch 0

echo "== Stale reads: instances can't confirm, and refuse"
wait_until 60 "fresh instances" all_fresh 3
wait_until 60 "confirmed states" has_verdict confirmed 1 2 3
key_accepted 1 demo-key-tromso-marine || fail "read before the withdrawal: $status"
platform_fault stale_reads 1
withdraw demo-key-tromso-marine
expect "exit status" "$code" 3
for n in 1 2 3; do
  read_with $n demo-key-tromso-marine
  expect "withdrawn key at entry-$n" "$status $reason" "503 stale_state"
done
platform_fault stale_reads 0
for n in 1 2 3; do
  wait_until_refused $n demo-key-tromso-marine
done
wait_until 60 "fresh instances" all_fresh 3
wait_until 60 "confirmed states" has_verdict confirmed 1 2 3
key_accepted 1 demo-key-kristiansand-bil || fail "another key: $status $reason"
echo "  ok: other keys work"
