#!/usr/bin/env bash
# Runs an example cell on loopback: stand-ins of the platform, some upstreams
# and nine entries, each a process on its own address.
#
#   examples/cell.sh haugland            # 9 entries, 8 upstreams
#   examples/cell.sh lettergrove 50      # 9 entries, 50 upstreams
#
# It creates a temporary folder for the configuration, the keys of the teams and
# the logs, and keeps it. An interrupt stops every process that it started.
set -euo pipefail

firm=${1:?give a firm: haugland or lettergrove}
upstreams=${2:-8}
root=$(cd "$(dirname "$0")/.." && pwd)
work=$(mktemp -d "${TMPDIR:-/tmp}/celeryarch-$firm.XXXXXX")
celeryarch=$work/celeryarch
pids=()

stop() {
  trap - EXIT INT TERM
  if ((${#pids[@]} > 0)); then
    kill -TERM "${pids[@]}" 2>/dev/null || true
  fi
  wait
}
trap stop EXIT
trap 'exit 0' INT TERM

# start NAME ARGUMENT... runs the program with its log in the working folder.
start() {
  local name=$1
  shift
  "$celeryarch" "$@" >"$work/$name.log" 2>&1 &
  pids+=($!)
}

# field NAME LINE prints a string or number of one line of the list of VMs.
field() {
  sed -E "s/.*\"$1\": \"?([^\",}]*)\"?.*/\1/" <<<"$2"
}

(cd "$root" && go build -o "$celeryarch" .)
cp -r "$root/examples/$firm/config" "$work/config"
config=$root/examples/$firm
export CELERYARCH_LOG
CELERYARCH_LOG=$(sed -nE 's/.*"log": "([^"]*)".*/\1/p' "$config/settings/entry-1.jsonc")
list=$(sed -nE 's/.*"vm_list": "([^"]*)".*/\1/p' "$config/settings/entry-1.jsonc")

# The list of VMs holds all entries and the upstreams to run.
{
  echo "["
  {
    grep '"role": "entry"' "$config/vms.json"
    grep -m "$upstreams" '"role": "upstream"' "$config/vms.json"
  } | sed -E 's/,?$/,/; $ s/,$//'
  echo "]"
} >"$work/vms.json"

start log standin log --listen="${CELERYARCH_LOG#http://}"
start vms standin vms --listen="${list#http://}" --file="$work/vms.json"

# Fails if another cell already uses these addresses, so that the configuration is
# not published to it.
sleep 1
for pid in "${pids[@]}"; do
  if ! kill -0 "$pid" 2>/dev/null; then
    cat "$work/log.log" "$work/vms.log" >&2
    exit 1
  fi
done
while read -r line; do
  cores=$(($(field cpu_milli "$line") / 1000))
  start "$(field id "$line")" standin upstream --listen="$(field address "$line")" \
    --id="$(field id "$line")" --zone="$(field zone "$line")" --rack="$(field rack "$line")" \
    --processors="$cores" --memory="$(field memory_bytes "$line")B"
done < <(grep '"role": "upstream"' "$work/vms.json")

teams=$(sed -nE 's/^    "([a-z-]+)": \{$/\1/p' "$config/config/20-teams.jsonc")
for team in $teams; do
  "$celeryarch" key new --team="$team" --dir="$work/config" >"$work/key-$team.txt"
done
for _ in 1 2 3 4 5; do
  "$celeryarch" config publish "$work/config" && break
  sleep 1
done
for settings in "$config"/settings/*.jsonc; do
  start "$(basename "$settings" .jsonc)" entry --settings="$settings"
done

entry=http://$(sed -nE 's/.*"api": "([^"]*)".*/\1/p' "$config/settings/entry-1.jsonc")
operators=http://$(sed -nE 's/.*"operators": "([^"]*)".*/\1/p' "$config/settings/entry-1.jsonc")
team=$(head -n 1 <<<"$teams")
key=$(sed -nE 's/^key .*: (cak_.*)$/\1/p' "$work/key-$team.txt")
cat <<EOF

The cell runs in $work. Try in another terminal:

  export CELERYARCH_ENTRY=$entry CELERYARCH_OPERATORS=$operators CELERYARCH_LOG=$CELERYARCH_LOG
  export CELERYARCH_KEY=$key
  $celeryarch status
  $celeryarch submit --tasks=2 --payload='{"run_ms": 500}' --wait=10s

An interrupt ends it.
EOF
wait
