#!/bin/sh
# Plays the case with target/savorysteer as seven processes and writes record.txt. Exit code: 1 if
# the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0 leaves the disruption out.
cd "$(dirname "$0")" || exit 2
folder=$(pwd)
root=$(cd ../.. && pwd)
[ -x "$root/target/savorysteer" ] && [ -x "$root/review/bin/lab" ] || exit 2
exec "$root/review/bin/lab" outlived-verdict "$root" "$folder"
