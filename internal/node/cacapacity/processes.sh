#!/usr/bin/env bash
# Prints what the entries of a cell that examples/cell.sh runs have spent over
# some seconds: processor time in percent of a core, bytes read and written a
# second (log lines not counted), and resident memory in KiB.
#
#   internal/node/cacapacity/processes.sh FOLDER SECONDS
set -euo pipefail

folder=${1:?give the folder in which the cell runs}
seconds=${2:-30}
hertz=$(getconf CLK_TCK)

# snapshot prints ticks, bytes read, bytes written and bytes logged by entry.
snapshot() {
  local log name pid ticks
  for log in "$folder"/entry-*.log; do
    name=$(basename "$log" .log)
    pid=$(pgrep -f "$folder/celeryarch entry --settings=.*/$name.jsonc")
    ticks=$(sed 's/.*) //' "/proc/$pid/stat" | awk '{print $12 + $13}')
    echo "$name $ticks $(awk '/^[rw]char/ {printf "%s ", $2}' "/proc/$pid/io") $(stat -c %s "$log")" \
      "$(awk '/^VmRSS/ {print $2}' "/proc/$pid/status")"
  done
}

before=$(snapshot)
start=$(date +%s.%N)
sleep "$seconds"
after=$(snapshot)
end=$(date +%s.%N)
paste <(echo "$before") <(echo "$after") | awk -v hertz="$hertz" -v start="$start" -v end="$end" '
  BEGIN { s = end - start }
  {
    cpu = ($8 - $2) / hertz / s * 100
    bytes = ($9 - $3 + $10 - $4 - ($11 - $5)) / s
    printf "%s %.2f%% %.0f B/s %d KiB\n", $1, cpu, bytes, $12
    cpus += cpu; all += bytes; most = $12 > most ? $12 : most
  }
  END { printf "mean %.2f%% %.0f B/s, at most %d KiB\n", cpus / NR, all / NR, most }'
