#!/usr/bin/env bash
# Runs both deployments of design section 1 on loopback, each with 7 entry
# instances in several availability zones. While feeds are open, a release note
# adds a server, drains one and withdraws one, and an entry instance is replaced.
# The exit status is 0 only if no promise was broken.
# Usage: scripts/demo.sh [SEED]
set -euo pipefail
cd "$(dirname "$0")/.."
seed=${1:-1}
root=$(mktemp -d "${TMPDIR:-/tmp}/savorytiller-demo.XXXXXX")
# shellcheck source=scripts/fleet.sh
. scripts/fleet.sh

run_deployment() { # NAME ADDED-SERVICE DRAINED-SERVER WITHDRAWN-SERVER ZONES...
  name=$1
  local added=$2 drained=$3 withdrawn=$4
  shift 4
  zones=("$@")
  work=$root/$name
  mkdir "$work"
  echo "== $name: 7 entry instances in ${#zones[@]} availability zones"
  start_standins --delay 1ms
  start_fleet
  start_load 20
  sleep 5
  echo "   note 2: one more server of $added, $drained drains, $withdrawn is withdrawn"
  publish "add=$added&drain=$drained&withdraw=$withdrawn"
  sleep 4
  echo "   ${instances[0]} is replaced by ${zones[0]}-9"
  start_instance "${zones[0]}-9" "${zones[0]}"
  wait_ready "${zones[0]}-9"
  leave "${instances[0]}" "${zones[0]}"
  finish_load
}

failed=0
run_isolated run_deployment dosenfalz line-control line-03 image-04 halle-a halle-b halle-c qs-labor
[ "$status" = 0 ] || failed=1
run_isolated run_deployment mandi price price-03 tally-04 pkc-a pkc-b pkc-c
[ "$status" = 0 ] || failed=1
if [ "$failed" != 0 ]; then
  echo "demo: FAILED, logs are in $root" >&2
  exit 1
fi
rm -rf "$root"
echo "demo: no promise was broken"
