#!/usr/bin/env bash
# Guards service during an outage of the store: keyed reads go on, orders are
# refused as not run, an instance that starts meanwhile gets the configuration
# from its peers, and afterwards everything is confirmed again.
set -euo pipefail
cd "$(dirname "$0")/../.."
PLATFORM_PORT=24700
ENTRY_BASE_PORT=24800
source scripts/local-fleet.sh
copy_services examples/skuffedel 3000

read_at() {
  call "$1" GET /katalog/spring-40 -H 'X-Api-Key: demo-key-verksted-oslo'
}

order() {
  call "$1" POST /ordre -H 'X-Api-Key: demo-key-verksted-oslo' \
    -H "Idempotency-Key: $2" -d '{"part": "drawer-spring"}'
}

start_platform
start_backends "$services/katalog/service.toml"
start_backends "$services/ordre/service.toml"
start_entry 1 1 oslo oslo-a
start_entry 2 1 bergen bergen-a
start_entry 3 1 trondheim trondheim-a
publish "$services" >/dev/null
wait_until 60 "fresh instances" all_fresh 3
wait_until 60 "confirmed states" has_verdict confirmed 1 2 3

echo "== Store down"
platform_fault down 1
wait_until 60 "attested outage" has_verdict outage_attested 1 2 3
for n in 1 2 3; do
  read_at $n
  expect "keyed read at entry-$n" "$status $outcome $reason" "200 result "
  order $n "down-$n"
  expect "order at entry-$n" "$status $outcome" "503 not-run"
  expect "executions" \
    "$(total_executions "$services/ordre/service.toml" "down-$n")" 0
done

echo "== Instance started during the outage"
start_entry 4 1 bergen bergen-b
wait_until 60 "attested outage at entry-4" has_verdict outage_attested 4
# It has no share of its own while the table of shares can't be written: look-ups
# do not name it, and it serves once its peers have lent it tokens and slots.
# Until then it may only refuse, as not run.
decided_at_4() {
  read_at 4
  [ "$outcome" != not-run ]
}
wait_until 60 "keyed read at entry-4" decided_at_4
expect "keyed read at entry-4" "$status $outcome" "200 result"
call 4 GET /aapningstider/bergen
expect "open route at entry-4" "$status $outcome" "200 result"
call 4 GET /katalog/spring-40 -H 'X-Api-Key: no-such-key'
expect "unknown key at entry-4" "$status $reason" "401 unknown_key"

echo "== Store back"
platform_fault down 0
wait_until 60 "fresh instances" all_fresh 4
wait_until 60 "confirmed states" has_verdict confirmed 1 2 3 4
read_at 4
expect "keyed read at entry-4" "$status $outcome" "200 result"
for n in 1 2 3; do
  order 4 "down-$n"
  expect "repeated order" "$status $outcome" "200 result"
  expect "executions" \
    "$(total_executions "$services/ordre/service.toml" "down-$n")" 1
done
