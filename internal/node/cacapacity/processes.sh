#!/usr/bin/env bash
# Measures the entries of a cell started by examples/cell.sh or zones.sh for some
# seconds, and prints for each: processor time in percent of a core, bytes read
# and written a second (without log lines), and resident memory in KiB. It also
# prints the mean for each program that the entries run.
#
#   internal/node/cacapacity/processes.sh FOLDER SECONDS
set -euo pipefail

folder=${1:?give the folder in which the cell runs}
seconds=${2:-30}
hertz=$(getconf CLK_TCK)

# snapshot prints a line for each entry: its name, ticks, bytes read, bytes
# written, bytes logged, resident memory and program.
snapshot() {
  local log name pid ticks
  for log in "$folder"/entry-*.log; do
    name=$(basename "$log" .log)
    pid=$(pgrep -f "$folder/celeryarch[^ ]* entry --settings=.*/$name.jsonc")
    ticks=$(sed 's/.*) //' "/proc/$pid/stat" | awk '{print $12 + $13}')
    echo "$name $ticks $(awk '/^[rw]char/ {printf "%s ", $2}' "/proc/$pid/io") $(stat -c %s "$log")" \
      "$(awk '/^VmRSS/ {print $2}' "/proc/$pid/status") $(tr '\0' '\n' <"/proc/$pid/cmdline" | head -n 1)"
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
    cpu = ($9 - $2) / hertz / s * 100
    bytes = ($10 - $3 + $11 - $4 - ($12 - $5)) / s
    sub(".*/", "", $14)
    printf "%s %.2f%% %.0f B/s %d KiB\n", $1, cpu, bytes, $13
    count[$14]++; cpus[$14] += cpu; all[$14] += bytes; most[$14] = $13 > most[$14] ? $13 : most[$14]
  }
  END {
    for (p in count) printf "mean of %s %.2f%% %.0f B/s, at most %d KiB\n", p, cpus[p] / count[p], all[p] / count[p], most[p]
  }'
