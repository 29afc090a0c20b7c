# Functions to run a fleet on this machine, for the demo and the process tests.
# Source it from bash. Every process that it starts ends with the script.

fleet_dir=${FLEET_DIR:-$(mktemp -d /tmp/parsleyplank-fleet.XXXXXX)}
bin=${BUILD_DIR:-build}
platform_address=127.0.0.1
platform_port=${PLATFORM_PORT:-20700}
entry_base_port=${ENTRY_BASE_PORT:-20800}
platform=$platform_address:$platform_port
# Entry instances use the ports above this one, ten each, so that fleets with
# different platform ports can run side by side.
entry_base_port=${ENTRY_BASE_PORT:-$((platform_port + 100))}
declare -A pids=()

stop_all() {
  local pid
  for pid in "${pids[@]}"; do
    # A stopped process takes no signal but these two.
    kill -CONT "$pid" 2>/dev/null || true
    kill -KILL "$pid" 2>/dev/null || true
  done
  wait 2>/dev/null || true
}
trap stop_all EXIT

# run NAME PROGRAM ARGUMENT...: starts a process with a log file of its name.
run() {
  local name=$1
  shift
  "$@" >"$fleet_dir/$name.log" 2>&1 &
  pids[$name]=$!
}

fail() {
  echo "FAILED: $*" >&2
  echo "Logs are in $fleet_dir" >&2
  exit 1
}

# wait_until SECONDS TEXT COMMAND...: repeats the command until it succeeds.
wait_until() {
  local end=$((SECONDS + $1)) text=$2
  shift 2
  while ((SECONDS < end)); do
    if "$@" >/dev/null 2>&1; then
      return 0
    fi
    sleep 0.1
  done
  fail "$text did not happen in time"
}

# field JSON NAME: prints the first string or number of this name.
field() {
  grep -o "\"$2\":\"\{0,1\}[^\",}]*" <<<"$1" | head -n 1 |
    sed 's/^[^:]*:"\{0,1\}//'
}

start_platform() {
  run platform "$bin/test/standin/standin-store" --address $platform_address \
    --port "$platform_port"
  wait_until 5 "start of the platform stand-in" \
    curl -sf "http://$platform/counts"
  # Without this, a fleet that uses the same port would answer instead.
  kill -0 "${pids[platform]}" 2>/dev/null ||
    fail "port $platform_port is in use by another process"
}

# platform_fault NAME VALUE: switches a fault of the platform stand-in.
platform_fault() {
  curl -sf -X PUT "http://$platform/fault/$1?value=$2" -d '' >/dev/null ||
    fail "fault $1 can't be switched"
}

# copy_services FOLDER OFFSET: copies a configuration to $fleet_dir/services with
# the ports of its backend servers moved by the offset, for fleets side by side.
# Sets services to the copy.
copy_services() {
  local file
  services=$fleet_dir/services
  cp -r "$1" "$services"
  for file in "$services"/*/service.toml; do
    awk -v offset="$2" '
      match($0, /port = [0-9]+/) {
        n = substr($0, RSTART + 7, RLENGTH - 7) + offset
        $0 = substr($0, 1, RSTART + 6) n substr($0, RSTART + RLENGTH)
      }
      { print }' "$file" >"$file.new"
    mv "$file.new" "$file"
  done
}

# start_backends FILE: starts a stand-in for each backend server of a service
# file.
start_backends() {
  local id port version slots
  slots=$(sed -n 's/^slots_per_server = \([0-9]*\).*/\1/p' "$1")
  while read -r id port version; do
    run "$id" "$bin/test/standin/backend/standin-backend" \
      --address 127.0.0.1 --port "$port" --server "$id" --version "$version" \
      --slots "$slots"
  done < <(sed -n 's/^ *{ id = "\([^"]*\)".*port = \([0-9]*\), version = "\([^"]*\)".*/\1 \2 \3/p' "$1")
}

# entry_ports NAME-OR-NUMBER: sets caller_port, admin_port and peer_port.
entry_ports() {
  caller_port=$((entry_base_port + $1 * 10))
  admin_port=$((caller_port + 1))
  peer_port=$((caller_port + 2))
}

# list_entry NUMBER INCARNATION REGION DOMAIN [LEAVING]: puts an instance into
# the platform's list; LEAVING is true or false (default).
list_entry() {
  entry_ports "$1"
  curl -sf -X PUT "http://$platform/v1/instances/entry-$1" -d "{
    \"id\": \"entry-$1\", \"incarnation\": $2, \"region\": \"$3\",
    \"failure_domain\": \"$4\", \"address\": \"127.0.0.1\",
    \"caller_port\": $caller_port, \"admin_port\": $admin_port,
    \"peer_port\": $peer_port, \"leaving\": false}" >/dev/null ||
    fail "entry-$1 can't be listed"
}

unlist_entry() {
  curl -sf -X DELETE "http://$platform/v1/instances/entry-$1" >/dev/null
}

# start_entry NUMBER INCARNATION REGION DOMAIN: lists and starts an instance.
start_entry() {
  list_entry "$@"
  cat >"$fleet_dir/entry-$1.toml" <<TOML
[instance]
id = "entry-$1"
incarnation = $2
region = "$3"
failure_domain = "$4"
address = "127.0.0.1"
caller_port = $caller_port
admin_port = $admin_port
peer_port = $peer_port

[platform]
store_address = "$platform_address"
store_port = $platform_port
instance_list_address = "$platform_address"
instance_list_port = $platform_port
TOML
  run "entry-$1" "$bin/apps/parsleyplank-entry/parsleyplank-entry" \
    "$fleet_dir/entry-$1.toml"
}

load() {
  "$bin/apps/parsleyplank-load/parsleyplank-load" "$@"
}

ctl() {
  "$bin/apps/parsleyplank-ctl/parsleyplank-ctl" --platform "$platform" "$@"
}

publish() {
  "$bin/apps/parsleyplank-publish/parsleyplank-publish" \
    --store "http://$platform" --publisher demo "$@"
}

# lookup NUMBER CLIENT: asks an instance which instances a client should use.
lookup() {
  entry_ports "$1"
  curl -sf "http://127.0.0.1:$caller_port/v1/lookup?client=$2"
}

# call NUMBER METHOD PATH CURL-ARGUMENT...: sends a request to an instance and
# sets status, outcome, reason, replayed, request and body.
call() {
  entry_ports "$1"
  local method=$2 path=$3 head=$fleet_dir/head
  shift 3
  body=$(curl -s -X "$method" -D "$head" --max-time 20 \
    "http://127.0.0.1:$caller_port$path" "$@") || true
  status=$(sed -n '1s/^HTTP[^ ]* \([0-9]*\).*/\1/p' "$head")
  outcome=$(header_of "$head" x-parsleyplank-outcome)
  reason=$(header_of "$head" x-parsleyplank-reason)
  replayed=$(header_of "$head" x-parsleyplank-replayed)
  request=$(header_of "$head" x-request-id)
}

header_of() {
  tr -d '\r' <"$1" | sed -n "s/^$2: //Ip" | head -n 1
}

# expect TEXT ACTUAL WANTED
expect() {
  [ "$2" = "$3" ] || fail "$1: got '$2', expected '$3'"
  echo "  ok: $1: $2"
}

# executions PORT NAME [TABLE]: how often a backend stand-in ran an idempotency
# key or, with the table by_request, a request.
executions() {
  local n
  n=$(curl -sf "http://127.0.0.1:$1/standin/executions" |
    grep -o "\"${3:-by_key}\":{[^}]*}" | grep -o "\"$2\":[0-9]*" |
    cut -d: -f2) || true
  echo "${n:-0}"
}

# total_executions FILE NAME [TABLE]: the same over all backend servers of a
# service.
total_executions() {
  local port sum=0
  while read -r port; do
    sum=$((sum + $(executions "$port" "$2" "${3:-by_key}")))
  done < <(sed -n 's/^ *{ id = .*port = \([0-9]*\),.*/\1/p' "$1")
  echo "$sum"
}

# verdict NUMBER: prints whether an instance may act on its state.
verdict() {
  entry_ports "$1"
  curl -s --max-time 5 "http://127.0.0.1:$admin_port/status" |
    sed -n 's/.*"verdict": *"\([a-z_]*\)".*/\1/p'
}

# has_verdict VERDICT NUMBER...: true if all instances have it.
has_verdict() {
  local wanted=$1 n
  shift
  for n in "$@"; do
    [ "$(verdict "$n")" = "$wanted" ] || return 1
  done
}

# all_fresh COUNT: true if this many instances hold a confirmed configuration
# and shares.
all_fresh() {
  [ "$(ctl status | grep -c 'epoch [1-9].*confirmed.*share [1-9]')" -eq "$1" ]
}
