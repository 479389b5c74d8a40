#!/usr/bin/env bash
# Demonstrates the whole system on one machine: Prairie Summit's four zones with
# two entry instances each, stand-ins for the platform and the targets, a
# published configuration, requests through two zones, the owner of a key and a
# latency histogram. Installs the required packages and builds first. Exits with
# status 0 if every step succeeded and every process stopped gracefully.
set -euo pipefail
cd "$(dirname "$0")/.."

readonly kZones=(ridge-north ridge-south city-depot valley-lodge)
readonly kInstancesPerZone=2
# Services and their number of targets per zone. The real deployment has 20, 8, 8
# and 8 endpoints in total.
readonly kServices=(gearshelf:2 holdfast:1 papertrail:1 bootfit:1)
readonly kSlots=3

say() { printf '\n== %s\n' "$*"; }
fail() { echo "demo: $*" >&2; exit 1; }

say "Packages and build"
scripts/install_packages.sh
cmake -S . -B build -G Ninja >/dev/null
cmake --build build --target snipehalld snipehall \
  standin_log_service standin_instance_list standin_target | tail -n 1
readonly kBin="$PWD/build"

work="$(mktemp -d)"
pids=()
names=()

# Kills the remaining child processes and removes the temporary files.
cleanup() {
  local pid
  for pid in "${pids[@]}"; do
    kill -KILL "$pid" 2>/dev/null || true
  done
  rm -rf "$work"
}
trap cleanup EXIT

# start NAME PROGRAM ARGUMENTS...: starts a program in the background with its
# output in NAME.out and NAME.err.
start() {
  local name="$1"
  shift
  "$@" >"$work/$name.out" 2>"$work/$name.err" &
  pids+=($!)
  names+=("$name")
}

# await SECONDS COMMAND...: polls the command until it succeeds; fails after the
# given time.
await() {
  local end=$((SECONDS + $1))
  shift
  until "$@" >/dev/null 2>&1; do
    [ $SECONDS -lt $end ] || fail "timed out: $*"
    sleep 0.05
  done
}

# json FILE EXPRESSION: prints the value of a Python expression in which `d` is
# the parsed JSON file.
json() { python3 -c "import json,sys; d=json.load(open(sys.argv[1])); print($2)" "$1"; }

# address NAME: prints the address on which a stand-in listens.
address() {
  await 20 test -s "$work/$1.out"
  json "$work/$1.out" 'd["address"]'
}

say "Platform and targets (fewer targets than in reality)"
start log "$kBin/tests/standin_log_service"
start list "$kBin/tests/standin_instance_list" --lag-ms 200
log="$(address log)"
list="$(address list)"
targets=()
for zone in "${kZones[@]}"; do
  for entry in "${kServices[@]}"; do
    service="${entry%%:*}"
    options=()
    [ "$service" = gearshelf ] && options=(--keyed --checks-orders)
    for number in $(seq "${entry##*:}"); do
      id="$service-$zone-$number"
      start "$id" "$kBin/tests/standin_target" --id "$id" --service "$service" \
        --zone "$zone" --slots $kSlots --connection-limit 130 "${options[@]}"
      targets+=("$id $service $zone")
    done
  done
done
echo "log service at $log, instance list at $list, ${#targets[@]} targets"

say "Entry instances: ${#kZones[@]} zones with $kInstancesPerZone each"
instances=()
for zone in "${kZones[@]}"; do
  for number in $(seq $kInstancesPerZone); do
    id="entry-$zone-$number"
    cat >"$work/$id.settings" <<SETTINGS
{"instance": "$id", "zone": "$zone",
 "caller_address": "127.0.0.1:0", "peer_address": "127.0.0.1:0",
 "admin_address": "127.0.0.1:0", "log_address": "$log",
 "instance_list_address": "$list", "addresses_file": "$work/$id.addresses",
 "shutdown_limit_ms": 10000}
SETTINGS
    start "$id" "$kBin/src/snipehalld" --settings "$work/$id.settings"
    instances+=("$id $zone")
  done
done

# The instance list, which the platform maintains in a real deployment.
for line in "${instances[@]}"; do
  read -r id zone <<<"$line"
  await 20 test -s "$work/$id.addresses"
  echo "$id entry - $zone $(json "$work/$id.addresses" 'd["peers"]')"
done >"$work/list"
for line in "${targets[@]}"; do
  read -r id service zone <<<"$line"
  echo "$id target $service $zone $(address "$id")"
done >>"$work/list"
python3 - "$work/list" >"$work/instances.json" <<'PYTHON'
import json, sys
rows = [line.split() for line in open(sys.argv[1])]
print(json.dumps({"instances": [
    {"id": i, "role": role, "service": "" if service == "-" else service,
     "zone": zone, "address": address, "state": "live"}
    for i, role, service, zone, address in rows]}))
PYTHON
curl -sSf -X PUT "http://$list/test/instances" \
  --data-binary "@$work/instances.json" >/dev/null

callers_of() { json "$work/entry-$1-1.addresses" 'd["callers"]'; }
admin_of() { json "$work/entry-$1-1.addresses" 'd["admin"]'; }

say "Configuration"
python3 - "${kZones[@]}" >"$work/configuration.json" <<'PYTHON'
import json, sys
zones = sys.argv[1:]
def service(name, keyed, deadline_ms):
    return {"name": name, "keyed": keyed, "slots_per_endpoint": 3,
            "connections_per_endpoint": 130, "default_class": "normal",
            "classes": [{"name": "normal", "default_deadline_ms": deadline_ms}]}
print(json.dumps({
    "zones": [{"name": zone, "region": "prairie-west"} for zone in zones],
    "services": [service("gearshelf", True, 2000),
                 service("holdfast", False, 2000),
                 service("papertrail", False, 30000),
                 service("bootfit", False, 2000)]}, indent=1))
PYTHON
tool=("$kBin/src/snipehall" --admin "$(admin_of ridge-north)" --author demo)
"${tool[@]}" config check "$work/configuration.json"
"${tool[@]}" --reason "opening day" config publish "$work/configuration.json"
for line in "${instances[@]}"; do
  read -r id zone <<<"$line"
  await 30 curl -sf -m 2 "http://$(json "$work/$id.addresses" 'd["admin"]')/readyz"
done
for zone in ridge-north city-depot; do
  for key in $(seq 16); do
    await 30 curl -sf -m 2 -o /dev/null -H 'Snipehall-Service: gearshelf' \
      -H "Snipehall-Key: board-$key" "http://$(callers_of "$zone")/probe"
  done
done
echo "all instances are ready"

say "Requests through two zones"
for zone in ridge-north city-depot; do
  base="http://$(callers_of "$zone")"
  echo "-- $zone: gear availability (keyed), a deposit, a waiver scan, a profile"
  curl -sSf -m 10 "$base/boards/board-7" -H 'Snipehall-Service: gearshelf' \
    -H 'Snipehall-Key: board-7'
  curl -sSf -m 10 "$base/deposits" -H 'Snipehall-Service: holdfast' \
    -H "Snipehall-Request-Id: deposit-$zone" -H 'Snipehall-Repeatable: no' \
    -d 'board-7: 50'
  head -c 300000 /dev/zero | tr '\0' w | curl -sSf -m 10 "$base/waivers" \
    -H 'Snipehall-Service: papertrail' -H 'X-Work-Ms: 50' --data-binary @-
  curl -sSf -m 10 "$base/profiles/12" -H 'Snipehall-Service: bootfit'
  # Reads 40 keys with 200 requests over one connection.
  for number in $(seq 200); do
    printf 'url="%s/boards/%s"\nheader="Snipehall-Service: gearshelf"\n' "$base" "$number"
    printf 'header="Snipehall-Key: board-%s"\nheader="X-Work-Ms: 2"\n' $((number % 40))
    printf 'output="%s"\nfail\nnext\n' "$work/read-$zone-$number"
  done | sed '$d' >"$work/reads"
  curl -sS -m 60 -K "$work/reads"
  answered=$(cat "$work/read-$zone-"* | grep -c ' path=/boards/')
  echo "$answered of 200 reads answered"
  [ "$answered" -eq 200 ] || fail "reads were lost in $zone"
done

say "The same key has the same owner from everywhere"
for zone in ridge-north city-depot; do
  "$kBin/src/snipehall" --admin "$(admin_of "$zone")" owner gearshelf board-7
done

say "Latency of requests at entry-ridge-north-1, seconds"
curl -sSf -m 5 "http://$(admin_of ridge-north)/metrics" |
  grep -E '^snipehall_request_seconds_(bucket|count|sum)' | grep gearshelf ||
  fail "no latency histogram"

say "Stopping everything gracefully"
# Stops the instances first, then the targets and the platform stand-ins.
for ((i = ${#pids[@]} - 1; i >= 0; --i)); do
  kill -TERM "${pids[i]}"
  status=0
  wait "${pids[i]}" || status=$?
  [ $status -eq 0 ] || fail "${names[i]} ended with status $status"
done
pids=()
echo "all processes ended with status 0"
