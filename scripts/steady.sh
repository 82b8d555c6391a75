#!/usr/bin/env bash
# Measures 7 instances without configuration changes or faults: either without
# callers (control traffic only, every server cold), or under load, which starts
# after 20 s so that the assignment of servers to home instances is stable.
# Usage: scripts/steady.sh idle|load [SECONDS]
set -euo pipefail
cd "$(dirname "$0")/.."
mode=${1:?idle or load}
seconds=${2:-30}
seed=1
root=$(mktemp -d "${TMPDIR:-/tmp}/savorytiller-steady.XXXXXX")
# shellcheck source=scripts/fleet.sh
. scripts/fleet.sh

run_steady() {
  name=factory
  zones=(halle-a halle-b halle-c qs-labor)
  run_dir=$root/$name
  mkdir "$run_dir"
  start_standins
  start_fleet
  if [ "$mode" = load ]; then
    sleep 20
    start_load "$seconds"
    finish_load
  else
    sleep "$seconds"
    print_resource_use
  fi
}

run_in_subshell run_steady
rm -rf "$root"
exit "$status"
