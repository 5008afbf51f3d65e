#!/usr/bin/env bash
# Submits jobs of 21 tasks of 2 s to entries in round-robin order at a given rate,
# and prints how many were accepted. The default hosts are the entries of the
# Haugland example.
#
#   CELERYARCH_KEY=... internal/node/cacapacity/load.sh SECONDS JOBS_A_SECOND [HOST...]
set -euo pipefail

key=${CELERYARCH_KEY:?give a key}
seconds=${1:-40}
jobs=${2:-3}
entries=("${@:3}")
if ((${#entries[@]} == 0)); then
  entries=(127.31.{1.1,1.2,1.3,2.1,2.2,3.1,3.2,4.1,4.2})
fi
body='{"kind": "batch", "tasks": 21, "size": {"cpu_milli": 1000, "memory_bytes": 1073741824},
  "run_time": "2s", "idempotent": true, "max_attempts": 3, "payload": {"run_ms": 2000}}'
sent=0
accepted=0
finish=$((SECONDS + seconds))
while ((SECONDS < finish)); do
  for ((i = 0; i < jobs; i++)); do
    entry=${entries[sent % ${#entries[@]}]}:7100
    sent=$((sent + 1))
    if curl -sf -m 3 -o /dev/null -H "Authorization: Bearer $key" -H 'Content-Type: application/json' \
      -d "$body" "http://$entry/v1/jobs"; then
      accepted=$((accepted + 1))
    fi
  done
  sleep 0.96
done
echo "$accepted of $sent jobs accepted, $((accepted * 21)) tasks"
