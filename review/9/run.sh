#!/usr/bin/env bash
# Plays the case on loopback; TROUBLE=0 leaves the disruption out. Build first: the build of
# deploy/system.toml and review/build-2.sh.
here=$(cd "$(dirname "$0")" && pwd)
cd "$here/../.." || exit 2
[ -x target/review-2 ] && [ -x target/chestnutshed ] || { echo "not built"; exit 2; }
exec target/review-2 poison "$here"
