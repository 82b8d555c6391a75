#!/usr/bin/env bash
# Plays the case with processes on loopback addresses and writes record.txt in this folder. Exit codes:
# 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0 leaves out the
# disruption. It needs the build of deploy/system.toml and review/build-3.sh.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/savorysteer ] && [ -x bin/review-bed ] || exit 2
exec timeout 110 bin/review-bed lapse review/13/record.txt
