#!/usr/bin/env bash
# Builds the stand-ins of the scripts: the project's stand-in for the platform's store,
# and the backends, clients and drivers of the review. The build command of the deploy
# file has to run before the scripts, too.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review
go build -o target/review/platform ./internal/cmds/platform
go build -o target/review/standin ./review/_standin
