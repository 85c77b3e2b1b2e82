#!/usr/bin/env bash
# Builds the stand-ins that the scripts in review/9 to review/13 start. Run the build command of
# deploy/system.toml first.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -o target/rig3 ./review/_rig3
