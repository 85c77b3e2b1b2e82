#!/usr/bin/env bash
# Builds the stand-ins of the cases 4 to 8. The deploy file builds the node.
set -eu
cd "$(dirname "$0")/.."
go build -o target/rig2 ./review/_rig2
