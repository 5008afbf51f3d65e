#!/usr/bin/env bash
# Builds the stand-ins that the cases 6 to 10 start, into target/.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -o target/stand2 ./review/_stand2
