#!/usr/bin/env bash
# Builds the stand-ins and clients that the scripts start. It has no dependencies.
set -euo pipefail
cd "$(dirname "$0")/../platform/_review"
GOWORK=off go build -buildvcs=false -o ../../target/review-cell .
