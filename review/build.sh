#!/usr/bin/env bash
# Builds the stand-in that the scripts of the cases start: into bin/.
set -euo pipefail
cd "$(dirname "$0")/standin"
GOFLAGS="-buildvcs=false" GOWORK=off GOTOOLCHAIN=local go build -o ../../bin/review-standin .
