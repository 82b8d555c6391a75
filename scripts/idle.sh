#!/usr/bin/env bash
# Measures what the instances of a deployment use without any traffic from
# callers: control only, with every server cold.
# Usage: scripts/idle.sh [SECONDS]
set -euo pipefail
cd "$(dirname "$0")/.."
seconds=${1:-30}
seed=1
root=$(mktemp -d "${TMPDIR:-/tmp}/savorytiller-idle.XXXXXX")
# shellcheck source=scripts/fleet.sh
. scripts/fleet.sh

run_idle() {
  name=factory
  zones=(halle-a halle-b halle-c qs-labor)
  work=$root/$name
  mkdir "$work"
  start_standins
  start_fleet
  sleep "$seconds"
  costs
}

run_isolated run_idle
rm -rf "$root"
exit "$status"
