#!/usr/bin/env bash
# Shows that requests of clients that have left reach a backend long after.
# Exit code: 1 if the rule was broken, 0 if it held, 2 if the case could not run.
# TROUBLE=0 leaves out the slow backend and the clients that leave. Run review/build.sh and the build command of the
# deploy file before.
set -uo pipefail
folder=$(cd "$(dirname "$0")" && pwd)
root=$(cd "$folder/../.." && pwd)
[ -x "$root/target/wasabibend" ] && [ -x "$root/target/review/standin" ] || { echo "not built: run the build command of deploy/system.toml and review/build.sh"; exit 2; }
cd "$root" && exec target/review/standin gone "$root" "$folder"
