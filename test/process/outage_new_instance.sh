#!/usr/bin/env bash
# Guards against an instance that starts during an outage of the store and
# refuses every request although the others have capacity to spare.
set -euo pipefail
cd "$(dirname "$0")/../.."
PLATFORM_PORT=24700
ENTRY_BASE_PORT=24800
source scripts/local-fleet.sh
copy_example examples/skuffedel 3000

serves() {
  call "$1" GET /katalog/spring-40 -H 'X-Api-Key: demo-key-verksted-oslo'
  [ "$status $outcome" = "200 result" ]
}

start_platform
start_backends "$services/katalog/service.toml"
start_entry 1 1 oslo oslo-a
start_entry 2 1 bergen bergen-a
publish "$services" >/dev/null
wait_until 60 "fresh instances" all_fresh 2
platform_fault down 1
start_entry 3 1 trondheim trondheim-a
wait_until 60 "attested outage" has_verdict outage_attested 1 2 3
wait_until 30 "keyed read at entry-3" serves 3
