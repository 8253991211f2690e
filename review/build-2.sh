#!/usr/bin/env bash
# Builds the stand-ins that the scripts of the second review start: into target/.
set -euo pipefail
cd "$(dirname "$0")/rig-2"
mkdir -p ../../target
GOFLAGS="-buildvcs=false" GOWORK=off GOTOOLCHAIN=local go build -o ../../target/review-2 .
