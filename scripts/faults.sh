#!/usr/bin/env bash
# Fault injection on loopback: entry instances are killed and paused, servers drain,
# become cold, crash, stop answering or shed requests, the configuration service is
# down or stale, and an availability zone is withdrawn and returns, two of these at
# a time. The seed chooses the targets and the order. Broken flows and interrupted
# requests are reported but accepted, since the promises about them cover planned
# changes only; a violation of any other promise fails the run.
# Usage: scripts/faults.sh factory|market SEED...
set -euo pipefail
cd "$(dirname "$0")/.."
deployment=${1:?deployment}
shift
root=$(mktemp -d "${TMPDIR:-/tmp}/savorytiller-faults.XXXXXX")
# shellcheck source=scripts/fleet.sh
. scripts/fleet.sh

log_event() { echo "   $(($(date +%s) - started_at)) s: $*"; }
server_command() { call POST "http://$backend/command?server=$1&do=$2"; }
set_service_mode() { call POST "http://$platform/standin/mode?mode=$1"; }

# choose_instance and choose_server set `chosen` to a random instance or to a random
# server of the service with long feeds. They return it in a variable because bash
# reseeds RANDOM in a command substitution.
choose_instance() { chosen=${instances[$((RANDOM % ${#instances[@]}))]}; }
choose_server() { printf -v chosen '%s-%02d' "$prefix" $((RANDOM % 15 + 1)); }

kill_instance() {
  choose_instance
  local id=$chosen
  log_event "SIGKILL of $id"
  kill -KILL "${pids[$id]}"
  wait "${pids[$id]}" 2>/dev/null || true
  unset "pids[$id]"
  sleep 2 # time until the platform detects the failure
  call DELETE "http://$platform/standin/instances/$id"
  sleep 2 # time until the instance list shows the removal
  log_event "$id starts again"
  start_instance "$id" "${id%-*}"
  wait_ready "$id"
}

pause_instance() {
  choose_instance
  log_event "SIGSTOP of $chosen for 5 s"
  kill -STOP "${pids[$chosen]}"
  sleep 5
  kill -CONT "${pids[$chosen]}"
}

kill_with_cold_server() {
  choose_server
  log_event "$chosen becomes cold without warning"
  server_command "$chosen" cold
  kill_instance
}

pause_with_service_down() {
  log_event "configuration service is down"
  set_service_mode down
  pause_instance
  set_service_mode up
}

kill_with_service_stale() {
  log_event "configuration service is stale"
  set_service_mode stale
  kill_instance
  set_service_mode up
}

zone_with_drain() {
  choose_server
  local zone=${zones[$((RANDOM % ${#zones[@]}))]}
  log_event "$zone is taken out of service, $chosen drains"
  publish "zone_out=$zone&drain=$chosen"
  sleep 9
  log_event "$zone returns to service"
  publish "zone_in=$zone"
  sleep 6
}

crash_with_silent_server() {
  choose_server
  local crashed=$chosen
  choose_server
  log_event "$crashed crashes, requests on open connections of $chosen get no response"
  server_command "$crashed" crash
  server_command "$chosen" silent
  sleep 5
  log_event "$crashed starts again"
  server_command "$crashed" restart
}

truncating_with_shedding_server() {
  choose_server
  local truncating=$chosen
  choose_server
  log_event "$truncating truncates responses, $chosen sheds requests and reports good health"
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
  run_dir=$root/$seed
  mkdir "$run_dir"
  case $name in
    factory) zones=(halle-a halle-b halle-c qs-labor) prefix=line ;;
    market) zones=(pkc-a pkc-b pkc-c) prefix=price ;;
    *) fail "deployment $name: must be factory or market" ;;
  esac
  echo "== faults in $name, seed $seed"
  start_standins --delay 1ms --loss 0.001
  start_fleet
  start_load 75 --unplanned --min-service 0.8
  started_at=$(date +%s)
  sleep 9 # time for the servers to warm up and the feeds to open
  local faults=(kill_with_cold_server pause_with_service_down kill_with_service_stale zone_with_drain
    crash_with_silent_server truncating_with_shedding_server)
  while [ ${#faults[@]} -gt 0 ]; do
    local next=$((RANDOM % ${#faults[@]}))
    "${faults[$next]}"
    faults=("${faults[@]:0:$next}" "${faults[@]:$((next + 1))}")
    sleep 3
  done
  log_event "no more faults"
  await_version
  finish_load
}

failed=0
for s in "$@"; do
  run_in_subshell run_faults "$s"
  [ "$status" = 0 ] || failed=1
done
if [ "$failed" != 0 ]; then
  echo "faults: FAILED, logs are in $root" >&2
  exit 1
fi
rm -rf "$root"
echo "faults: no promise was broken, apart from those that crashes can break"
