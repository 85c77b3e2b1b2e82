#!/usr/bin/env bash
# Plays this case; see claim.txt. Exits with 1 if the rule was broken, 0 if it held and 2 if
# the case could not run. TROUBLE=0 leaves out the disruption.
set -u
cd "$(dirname "$0")/../.."
folder=review/7
trouble=true
if [ "${TROUBLE:-1}" = 0 ]; then trouble=false; fi
for program in target/wasabibend target/rig2; do
  if [ ! -x "$program" ]; then
    echo "$program is missing: run the build of deploy/system.toml and review/build-2.sh" >&2
    exit 2
  fi
done
exec target/rig2 -case poison -trouble=$trouble -record "$folder/record.txt"
