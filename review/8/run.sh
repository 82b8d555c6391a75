#!/usr/bin/env bash
# Plays the case and writes record.txt in this folder: what was sent, answered and run. See claim.txt.
# Exit codes: 0 held, 1 broken, 2 could not run.
cd "$(dirname "$0")/../.." || exit 2
if [ ! -x target/review-rig ] || [ ! -x target/savorysteer ]; then
  echo "run the build of deploy/system.toml and review/build-2.sh first" >&2
  exit 2
fi
exec target/review-rig restart review/8/record.txt
