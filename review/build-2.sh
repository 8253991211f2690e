#!/usr/bin/env bash
# Builds the stand-ins of the second review's scripts into target/.
set -euo pipefail
cd "$(dirname "$0")/rig-2"
go build -buildvcs=false -o ../../target/review-2 .
