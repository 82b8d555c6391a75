#!/usr/bin/env bash
# Combined failure run on loopback: entry instances are killed and paused, servers
# drain, turn cold, crash, fall silent or shed, the configuration service is down
# or stale, and an availability zone leaves and returns, two of these at a time.
# The seed chooses the targets and the order. Broken flows are reported but
# accepted, since crashes are no planned change; every other promise counts.
# Usage: scripts/faults.sh factory|market SEED...
set -euo pipefail
cd "$(dirname "$0")/.."
deployment=${1:?deployment}
shift
root=$(mktemp -d "${TMPDIR:-/tmp}/savorytiller-faults.XXXXXX")
# shellcheck source=scripts/fleet.sh
. scripts/fleet.sh

say() { echo "   $(($(date +%s) - began)) s: $*"; }
server_command() { call POST "http://$backend/command?server=$1&do=$2"; }
mode() { call POST "http://$platform/standin/mode?mode=$1"; }

# Choose a random instance or server of the long-feed service. RANDOM must not be
# read in a command substitution: bash seeds it anew there.
some_instance() { chosen=${instances[$((RANDOM % ${#instances[@]}))]}; }
some_server() { printf -v chosen '%s-%02d' "$prefix" $((RANDOM % 15 + 1)); }

kill_instance() {
  some_instance
  local id=$chosen
  say "SIGKILL of $id"
  kill -KILL "${pids[$id]}"
  wait "${pids[$id]}" 2>/dev/null || true
  unset "pids[$id]"
  sleep 2 # the platform notices
  call DELETE "http://$platform/standin/instances/$id"
  sleep 2
  say "$id starts again"
  start_instance "$id" "${id%-*}"
  wait_ready "$id"
}

pause_instance() {
  some_instance
  say "SIGSTOP of $chosen for 5 s"
  kill -STOP "${pids[$chosen]}"
  sleep 5
  kill -CONT "${pids[$chosen]}"
}

kill_with_cold_server() {
  some_server
  say "$chosen turns cold without warning"
  server_command "$chosen" cold
  kill_instance
}

pause_with_service_down() {
  say "configuration service is down"
  mode down
  pause_instance
  mode up
}

kill_with_service_stale() {
  say "configuration service is stale"
  mode stale
  kill_instance
  mode up
}

zone_with_drain() {
  some_server
  local zone=${zones[$((RANDOM % ${#zones[@]}))]}
  say "$zone is taken out of service, $chosen drains"
  publish "zone_out=$zone&drain=$chosen"
  sleep 9
  say "$zone returns"
  publish "zone_in=$zone"
  sleep 6
}

server_crash_with_silence() {
  some_server
  local crashed=$chosen
  some_server
  say "$crashed crashes, open connections of $chosen fall silent"
  server_command "$crashed" crash
  server_command "$chosen" silent
  sleep 5
  say "$crashed starts again"
  server_command "$crashed" restart
}

truncation_with_shedding() {
  some_server
  local truncating=$chosen
  some_server
  say "$truncating truncates answers, $chosen sheds and reports good health"
  server_command "$truncating" truncate
  server_command "$chosen" shed
  server_command "$chosen" lie
  sleep 4
  server_command "$truncating" normal
  server_command "$chosen" normal
}

run_faults() { # SEED
  seed=$1 name=$deployment
  RANDOM=$seed
  work=$root/$seed
  mkdir "$work"
  case $name in
    factory) zones=(halle-a halle-b halle-c qs-labor) prefix=line ;;
    market) zones=(pkc-a pkc-b pkc-c) prefix=price ;;
    *) fail "deployment $name: must be factory or market" ;;
  esac
  echo "== faults in $name, seed $seed"
  start_standins --delay 1ms --loss 0.001
  start_fleet
  start_load 75 --unplanned --min-service 0.8
  began=$(date +%s)
  sleep 9
  local rounds=(kill_with_cold_server pause_with_service_down kill_with_service_stale zone_with_drain
    server_crash_with_silence truncation_with_shedding)
  while [ ${#rounds[@]} -gt 0 ]; do
    local next=$((RANDOM % ${#rounds[@]}))
    "${rounds[$next]}"
    rounds=("${rounds[@]:0:$next}" "${rounds[@]:$((next + 1))}")
    sleep 3
  done
  say "no more faults"
  await_version
  finish_load
}

failed=0
for s in "$@"; do
  run_isolated run_faults "$s"
  [ "$status" = 0 ] || failed=1
done
if [ "$failed" != 0 ]; then
  echo "faults: FAILED, logs are in $root" >&2
  exit 1
fi
rm -rf "$root"
echo "faults: only flows were broken"
