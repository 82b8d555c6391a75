# Functions that start stand-ins and entry instances on loopback and end every
# process that they started. Sourced by demo.sh, faults.sh and steady.sh, which set
# `name` (deployment), `seed` and `run_dir` (directory for logs and files) before the
# first call, and `zones` before start_fleet.

declare -A pids=() # process id by name of the process

# stop_processes ends all processes of this run by their ids. A process stopped by
# SIGSTOP does not handle SIGTERM, so each gets SIGCONT first. Processes that still
# run after 8 s are killed.
stop_processes() {
  local id
  for id in "${pids[@]}"; do
    kill -CONT "$id" 2>/dev/null || true
    kill -TERM "$id" 2>/dev/null || true
  done
  for _ in $(seq 80); do
    local running=0
    for id in "${pids[@]}"; do
      if kill -0 "$id" 2>/dev/null; then running=1; fi
    done
    if [ "$running" = 0 ]; then break; fi
    sleep 0.1
  done
  for id in "${pids[@]}"; do kill -KILL "$id" 2>/dev/null || true; done
  for id in "${pids[@]}"; do wait "$id" 2>/dev/null || true; done
  pids=()
}

# run_in_subshell FUNCTION ARGUMENTS... runs a function in a subshell that ends the
# processes it started, and sets `status`. The function is not called in a
# condition, because bash would ignore `set -e` there.
run_in_subshell() {
  (
    set -e
    trap stop_processes EXIT
    trap 'exit 143' TERM
    "$@"
  ) &
  local child=$!
  trap 'kill -TERM "$child"; wait "$child"; exit 143' INT TERM
  status=0
  wait "$child" || status=$?
  trap - INT TERM
}

# run_in_parallel FUNCTION... runs functions in subshells at the same time, prefixes
# their output with their names, and sets `status` to 1 if one failed.
run_in_parallel() {
  local children=() function child
  for function in "$@"; do
    (
      set -e
      trap stop_processes EXIT
      trap 'exit 143' TERM
      "$function"
    ) > >(sed -u "s/^/${function#run_}: /") 2>&1 &
    children+=($!)
  done
  trap 'kill -TERM "${children[@]}"; wait; exit 143' INT TERM
  status=0
  for child in "${children[@]}"; do
    wait "$child" || status=1
  done
  trap - INT TERM
}

fail() {
  echo "$*" >&2
  exit 1
}

# start_process NAME COMMAND... runs a process in the background and appends its
# output to a log file.
start_process() {
  local process=$1
  shift
  "$@" >>"$run_dir/$process.log" 2>&1 &
  pids[$process]=$!
}

# wait_file FILE NAME waits until the process has written the file.
wait_file() {
  for _ in $(seq 100); do
    if [ -s "$1" ]; then return; fi
    kill -0 "${pids[$2]}" 2>/dev/null || fail "$2 ended early: $(tail -n 5 "$run_dir/$2.log")"
    sleep 0.1
  done
  fail "$2 has not reported its address"
}

call() { bin/savorystub call "$@"; }

# start_standins OPTIONS... starts the stand-ins for platform, backend and fabric,
# the last with the given options, and publishes the first release note.
start_standins() {
  start_process platform bin/savorystub platform --lag 1s --report "$run_dir/platform"
  wait_file "$run_dir/platform" platform
  platform=$(cat "$run_dir/platform")
  start_process backend bin/savorystub backend --deployment "$name" --seed "$seed" --note "$run_dir/note-1.json" --report "$run_dir/backend"
  wait_file "$run_dir/backend" backend
  backend=$(cat "$run_dir/backend")
  start_process fabric bin/savorystub fabric --platform "$platform" --seed "$seed" "$@" --report "$run_dir/fabric"
  wait_file "$run_dir/fabric" fabric
  fabric=$(cat "$run_dir/fabric")
  version=1
  call POST "http://$platform/standin/publish" --data "$run_dir/note-1.json"
}

# publish CHANGES requests the next release note with the given changes (form
# parameters of the backend stand-in) and publishes it.
publish() {
  version=$((version + 1))
  call POST "http://$backend/note?version=$version&$1" >"$run_dir/note-$version.json"
  call POST "http://$platform/standin/publish" --data "$run_dir/note-$version.json"
}

# version_of ID prints the version of the release note in force at an instance.
version_of() {
  call GET "http://$(json_field "$run_dir/$1.addresses" operators)/status" | tr -d ' \n' |
    sed -n 's/.*"note":{"version":\([0-9]*\),.*/\1/p'
}

# await_version checks that the latest release note comes into force at every
# instance in $instances within 6 s (promise 10 of design section 2).
await_version() {
  local published id in_force
  published=$(date +%s%N)
  for id in "${instances[@]}"; do
    until in_force=$(version_of "$id") && [ "$in_force" = "$version" ]; do
      [ $(($(date +%s%N) - published)) -lt 6000000000 ] || fail "$id has note $in_force instead of $version after 6 s"
      sleep 0.1
    done
  done
  echo "   note $version is in force everywhere after $((($(date +%s%N) - published) / 1000000)) ms"
}

# check_versions fails if an instance does not have the latest release note in force,
# for example because it went back to an older one.
check_versions() {
  local id in_force
  for id in "${instances[@]}"; do
    in_force=$(version_of "$id") || fail "$id does not answer on its operators' address"
    [ "$in_force" = "$version" ] || fail "$id has note $in_force instead of $version"
  done
}

# json_field FILE NAME prints a string field of a JSON file with one field per line.
json_field() { sed -n "s/.*\"$2\": *\"\([^\"]*\)\".*/\1/p" "$1"; }

# register_instance ID ZONE STATE enters an instance in the platform's instance list.
register_instance() {
  local file=$run_dir/$1.addresses
  call POST "http://$platform/standin/instances" --body "{\"id\": \"$1\", \"zone\": \"$2\", \"state\": \"$3\",
    \"flow_address\": \"$(json_field "$file" flows)\", \"peer_address\": \"$(json_field "$file" peers)\",
    \"request_address\": \"$(json_field "$file" requests)\"}"
}

# start_instance ID ZONE starts an entry instance and registers it at the platform.
start_instance() {
  cat >"$run_dir/$1.toml" <<TOML
[instance]
id = "$1"
zone = "$2"
[listen]
flows = "127.0.0.1:0"
peers = "127.0.0.1:0"
requests = "127.0.0.1:0"
operators = "127.0.0.1:0"
[platform]
url = "http://$platform"
[[peer_keys]]
id = 1
secret = "stand-in-key-0123456789-0123456789"
[shutdown]
notice_ms = 2000
drain_ms = 6000
[log]
level = "${SAVORY_LOG:-info}"
TOML
  rm -f "$run_dir/$1.addresses"
  start_process "$1" bin/savorytillerd --config "$run_dir/$1.toml" --addresses-file "$run_dir/$1.addresses"
  wait_file "$run_dir/$1.addresses" "$1"
  register_instance "$1" "$2" live
}

# wait_ready ID waits until the instance passes its readiness check.
wait_ready() {
  for _ in $(seq 100); do
    if call GET "http://$(json_field "$run_dir/$1.addresses" operators)/ready" >/dev/null 2>&1; then return; fi
    kill -0 "${pids[$1]}" 2>/dev/null || fail "$1 ended early: $(tail -n 5 "$run_dir/$1.log")"
    sleep 0.1
  done
  fail "$1 has not become ready: $(tail -n 5 "$run_dir/$1.log")"
}

# stop_instance ID ZONE shuts an instance down gracefully, waits for its end and
# removes it from the platform's instance list.
stop_instance() {
  register_instance "$1" "$2" leaving
  kill -TERM "${pids[$1]}"
  local status=0
  wait "${pids[$1]}" || status=$?
  unset "pids[$1]"
  call DELETE "http://$platform/standin/instances/$1"
  [ "$status" = 0 ] || fail "$1 exited with status $status: $(tail -n 5 "$run_dir/$1.log")"
}

# start_fleet starts 7 instances spread over the availability zones in $zones and
# waits until they are ready.
start_fleet() {
  instances=()
  local i zone
  for i in 0 1 2 3 4 5 6; do
    zone=${zones[$((i % ${#zones[@]}))]}
    instances+=("$zone-$((i / ${#zones[@]} + 1))")
    start_instance "${instances[$i]}" "$zone"
  done
  for i in "${instances[@]}"; do wait_ready "$i"; done
  await_members
}

# await_members waits until every instance lists all instances as live, as in a
# fleet that has been running for some time.
await_members() {
  local id live
  for id in "${instances[@]}"; do
    for _ in $(seq 150); do
      live=$(call GET "http://$(json_field "$run_dir/$id.addresses" operators)/status" | grep -o '"liveness": *"live"' | wc -l)
      if [ "$live" = "${#instances[@]}" ]; then continue 2; fi
      sleep 0.1
    done
    fail "$id lists $live instead of ${#instances[@]} instances as live after 15 s"
  done
}

# start_load SECONDS OPTIONS... starts the load tool in the background.
start_load() {
  local seconds=$1
  shift
  start_process load bin/savoryload --deployment "$name" --fabric "$fabric" --platform "$platform" --backend "$backend" \
    --duration "${seconds}s" --seed "$seed" --json "$run_dir/report.json" "$@"
}

# print_resource_use prints the highest values among the running instances: memory of
# the process, and its mean CPU load and rate of bytes to peers since its start.
print_resource_use() {
  local id metrics uptime memory=0 cpu=0 bytes=0 value
  for id in "${instances[@]}"; do
    kill -0 "${pids[$id]:-0}" 2>/dev/null || continue
    metrics=$(call GET "http://$(json_field "$run_dir/$id.addresses" operators)/metrics" | tr -d ' \n') || continue
    uptime=$(call GET "http://$(json_field "$run_dir/$id.addresses" operators)/status" | tr -d ' \n' |
      sed -n 's/.*"uptime_ms":\([0-9]*\).*/\1/p')
    value=$(gauge process.memory_bytes)
    memory=$((value > memory ? value : memory))
    value=$(($(gauge process.cpu_ms) * 1000 / uptime))
    cpu=$((value > cpu ? value : cpu))
    value=$(($(gauge peer.bytes_sent) * 1000 / uptime))
    bytes=$((value > bytes ? value : bytes))
  done
  echo "  instances, highest of each: $((memory / 1000000)) MB memory, $((cpu / 10)).$((cpu % 10)) % of a core," \
    "$bytes bytes/s to peers over TCP"
}

# gauge NAME prints a value from $metrics.
gauge() { sed -n "s/.*\"$1\":\([0-9]*\).*/\1/p" <<<"$metrics"; }

# save_instance_state saves the responses of the operators' endpoints of all
# instances, to diagnose a failed run.
save_instance_state() {
  local id page
  for id in "${instances[@]}"; do
    for page in status metrics explain; do
      call GET "http://$(json_field "$run_dir/$id.addresses" operators)/$page" >"$run_dir/$id.$page.json" 2>&1 || true
    done
  done
}

# finish_load waits for the load tool, prints its report, the resource use of the
# instances and the counts of the configuration service, and returns the exit status
# of the load tool.
finish_load() {
  local status=0
  wait "${pids[load]}" || status=$?
  unset "pids[load]"
  cat "$run_dir/load.log"
  if [ "$status" != 0 ]; then save_instance_state; fi
  print_resource_use
  echo "  configuration service: $(call GET "http://$platform/standin/stats")"
  return "$status"
}
