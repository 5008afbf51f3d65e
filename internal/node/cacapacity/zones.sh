#!/usr/bin/env bash
# Runs a large cell on loopback: entries of 2 processors and upstreams in five
# zones, with all upstreams in one process. processes.sh measures the cell;
# key.txt in the folder holds a key for load.sh. The cell ends after the given
# number of seconds or on an interrupt. If CELERYARCH_OTHER is set, every other
# entry runs the program at this path, so that two builds can be compared side by
# side. All addresses begin with CELERYARCH_PREFIX.
#
#   internal/node/cacapacity/zones.sh FOLDER ENTRIES UPSTREAMS SECONDS
set -euo pipefail

work=${1:?give a folder}
entries=${2:-25}
upstreams=${3:-900}
seconds=${4:-60}
root=$(cd "$(dirname "$0")/../../.." && pwd)
prefix=${CELERYARCH_PREFIX:-127.47}
zones=(bergen-a bergen-b bergen-c bergen-d bergen-e)
pids=()

stop() {
  trap - EXIT INT TERM
  kill -TERM "${pids[@]}" 2>/dev/null || true
  wait
}
trap stop EXIT
trap 'exit 0' INT TERM

start() {
  local name=$1
  shift
  "$@" >"$work/$name.log" 2>&1 &
  pids+=($!)
}

# vms prints the VM list, entries first.
vms() {
  local i comma=""
  echo "["
  for ((i = 0; i < entries; i++)); do
    echo "$comma{\"id\": \"entry-$i\", \"role\": \"entry\", \"state\": \"live\", \"zone\": \"${zones[i % 5]}\"," \
      "\"address\": \"$prefix.1.$((i + 1)):7101\"}"
    comma=,
  done
  for ((i = 0; i < upstreams; i++)); do
    echo ",{\"id\": \"upstream-$i\", \"role\": \"upstream\", \"state\": \"live\", \"zone\": \"${zones[i % 5]}\"," \
      "\"rack\": \"rack-$((i % 5))-$((i / 30))\", \"address\": \"$prefix.$((2 + i / 200)).$((i % 200 + 1)):7200\"," \
      "\"capacity\": {\"cpu_milli\": 16000, \"memory_bytes\": 34359738368, \"accelerators\": 2}," \
      "\"accelerator_kind\": \"a100\", \"slots\": 8, \"connections\": 64}"
  done
  echo "]"
}

# settings prints the settings file of an entry.
settings() {
  local at=$prefix.1.$(($1 + 1))
  echo "{\"vm\": \"entry-$1\", \"zone\": \"${zones[$1 % 5]}\", \"tls\": {\"insecure\": true}," \
    "\"addresses\": {\"api\": \"$at:7100\", \"peer\": \"$at:7101\", \"operators\": \"$at:7102\"}," \
    "\"seeds\": [\"$prefix.1.1:7101\", \"$prefix.1.2:7101\", \"$prefix.1.3:7101\"]," \
    "\"platform\": {\"log\": \"http://$prefix.0.1:7001\", \"vm_list\": \"http://$prefix.0.1:7002\"}}"
}

mkdir -p "$work/settings"
(cd "$root" && go build -o "$work/celeryarch" . && go build -o "$work/caupstreams" ./internal/node/caupstreams)
cp "${CELERYARCH_OTHER:-$work/celeryarch}" "$work/celeryarch-other"
programs=("$work/celeryarch" "$work/celeryarch-other")
cp -r "$root/examples/haugland/config" "$work/config"
cat >"$work/config/10-zones.jsonc" <<END
{"zones": {"bergen-a": {"allowance_percent": 20}, "bergen-b": {"allowance_percent": 20},
  "bergen-c": {"allowance_percent": 20}, "bergen-d": {"allowance_percent": 20}, "bergen-e": {"allowance_percent": 20}}}
END
"$work/celeryarch" key new --team=nordtrikot --dir="$work/config" >"$work/key.txt"
vms >"$work/vms.json"
export CELERYARCH_LOG=http://$prefix.0.1:7001
start log "$work/celeryarch" standin log --listen=$prefix.0.1:7001
start vms "$work/celeryarch" standin vms --listen=$prefix.0.1:7002 --file="$work/vms.json"
start upstreams "$work/caupstreams" "$work/vms.json"
sleep 1
# Stop if a process failed to start: another cell may use the same addresses, and
# its log must not get this configuration.
kill -0 "${pids[@]}" || exit 1
"$work/celeryarch" config publish "$work/config"
export GOMAXPROCS=2
for ((i = 0; i < entries; i++)); do
  settings "$i" >"$work/settings/entry-$i.jsonc"
  start "entry-$i" "${programs[i % 2]}" entry --settings="$work/settings/entry-$i.jsonc"
done
sleep "$seconds" &
wait $!
