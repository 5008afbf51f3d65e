#!/usr/bin/env bash
# Builds the stand-ins of the cases of the third review into target/.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -o target/stand3 ./review/_stand3
