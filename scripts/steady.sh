#!/usr/bin/env bash
# Measures 7 instances without any change: either without callers (control only,
# every server cold), or under load after 20 s in which the servers' home
# instances settle.
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
  work=$root/$name
  mkdir "$work"
  start_standins
  start_fleet
  if [ "$mode" = load ]; then
    sleep 20
    start_load "$seconds"
    finish_load
  else
    sleep "$seconds"
    costs
  fi
}

run_isolated run_steady
rm -rf "$root"
exit "$status"
