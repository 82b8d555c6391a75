#!/usr/bin/env bash
# Runs both deployments of design section 1 on loopback at the same time, each with 7
# entry instances in several availability zones. While feeds are open, a release note
# adds a server, drains one and withdraws one, and an entry instance is replaced;
# in the second deployment an availability zone is taken out of service and returns.
# The exit status is 0 only if no promise was broken.
# Usage: scripts/demo.sh [SEED]
set -euo pipefail
cd "$(dirname "$0")/.."
seed=${1:-1}
root=$(mktemp -d "${TMPDIR:-/tmp}/savorytiller-demo.XXXXXX")
# shellcheck source=scripts/fleet.sh
. scripts/fleet.sh

# replace_first_instance replaces the first instance by a new one under traffic.
replace_first_instance() {
  local old=${instances[0]} new=${zones[0]}-9
  echo "   $old is replaced by $new"
  start_instance "$new" "${zones[0]}"
  wait_ready "$new"
  stop_instance "$old" "${zones[0]}"
  instances=("$new" "${instances[@]:1}")
}

# start_deployment NAME SECONDS ZONES... starts stand-ins, instances and load of a
# deployment.
start_deployment() {
  name=$1
  local seconds=$2
  shift 2
  zones=("$@")
  run_dir=$root/$name
  mkdir "$run_dir"
  echo "== $name: 7 entry instances in ${#zones[@]} availability zones"
  start_standins --delay 1ms
  start_fleet
  start_load "$seconds"
  sleep 8 # time for the servers to warm up and the feeds to open
}

run_factory() {
  start_deployment factory 18 halle-a halle-b halle-c qs-labor
  echo "   note 2: line-16 is added, line-03 drains, image-04 is withdrawn"
  publish "add=line-control&drain=line-03&withdraw=image-04"
  await_version
  replace_first_instance
  check_versions
  finish_load
}

run_market() {
  start_deployment market 24 pkc-a pkc-b pkc-c
  echo "   note 2: price-16 is added, price-03 drains, tally-04 is withdrawn"
  publish "add=price&drain=price-03&withdraw=tally-04"
  await_version
  echo "   note 3: pkc-b is taken out of service"
  publish "zone_out=pkc-b"
  await_version
  replace_first_instance
  sleep 1
  echo "   note 4: pkc-b returns"
  publish "zone_in=pkc-b"
  await_version
  check_versions
  finish_load
}

run_in_parallel run_factory run_market
if [ "$status" != 0 ]; then
  echo "demo: FAILED, logs are in $root" >&2
  exit 1
fi
rm -rf "$root"
echo "demo: no promise was broken"
