# Functions that start stand-ins and entry instances on loopback and end every
# process that they started. Sourced by demo.sh and faults.sh, which set
# `name` (deployment), `seed` and `work` (directory) before the first call.

declare -A pids=() # process id by name of the process

# Ends all processes of this run by their ids. A stopped process handles no
# SIGTERM, so it is continued first; what has not ended after 8 s is killed.
end_all() {
  local id
  for id in "${pids[@]}"; do
    kill -CONT "$id" 2>/dev/null || true
    kill -TERM "$id" 2>/dev/null || true
  done
  for _ in $(seq 80); do
    local left=0
    for id in "${pids[@]}"; do
      if kill -0 "$id" 2>/dev/null; then left=1; fi
    done
    if [ "$left" = 0 ]; then break; fi
    sleep 0.1
  done
  for id in "${pids[@]}"; do kill -KILL "$id" 2>/dev/null || true; done
  for id in "${pids[@]}"; do wait "$id" 2>/dev/null || true; done
  pids=()
}

# run_isolated COMMAND... runs a function in a process of its own that ends what
# it started, and sets `status`. The function runs outside any condition, in
# which bash would ignore `set -e`.
run_isolated() {
  (
    set -e
    trap end_all EXIT
    trap 'exit 143' TERM
    "$@"
  ) &
  local child=$!
  trap 'kill -TERM "$child"; wait "$child"; exit 143' INT TERM
  status=0
  wait "$child" || status=$?
  trap - INT TERM
}

# run_together FUNCTION... runs functions at the same time like run_isolated, with their
# names before their output, and sets `status` to 1 if one failed.
run_together() {
  local children=() function child
  for function in "$@"; do
    (
      set -e
      trap end_all EXIT
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

# start NAME COMMAND... runs a process in the background; its output goes to a log.
start() {
  local process=$1
  shift
  "$@" >>"$work/$process.log" 2>&1 &
  pids[$process]=$!
}

# wait_file FILE NAME waits until the process has written the file.
wait_file() {
  for _ in $(seq 100); do
    if [ -s "$1" ]; then return; fi
    kill -0 "${pids[$2]}" 2>/dev/null || fail "$2 ended early: $(tail -n 5 "$work/$2.log")"
    sleep 0.1
  done
  fail "$2 has not reported its address"
}

call() { bin/savorystub call "$@"; }

start_standins() {
  start platform bin/savorystub platform --lag 1s --report "$work/platform"
  wait_file "$work/platform" platform
  platform=$(cat "$work/platform")
  start backend bin/savorystub backend --deployment "$name" --seed "$seed" --note "$work/note-1.json" --report "$work/backend"
  wait_file "$work/backend" backend
  backend=$(cat "$work/backend")
  start fabric bin/savorystub fabric --platform "$platform" --seed "$seed" "$@" --report "$work/fabric"
  wait_file "$work/fabric" fabric
  fabric=$(cat "$work/fabric")
  version=1
  call POST "http://$platform/standin/publish" --data "$work/note-1.json"
}

# publish PARAMETERS builds the next release note from the changes and publishes it.
publish() {
  version=$((version + 1))
  call POST "http://$backend/note?version=$version&$1" >"$work/note-$version.json"
  call POST "http://$platform/standin/publish" --data "$work/note-$version.json"
}

# version_of ID prints the version of the note that is in force at an instance.
version_of() {
  call GET "http://$(field "$work/$1.addresses" operators)/status" | tr -d ' \n' |
    sed -n 's/.*"note":{"version":\([0-9]*\),.*/\1/p'
}

# await_version checks that the newest note comes into force at every listed
# instance within 6 s (promise 10).
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

# check_versions fails if an instance has gone back to an older note.
check_versions() {
  local id in_force
  for id in "${instances[@]}"; do
    in_force=$(version_of "$id") || fail "$id does not answer its operators"
    [ "$in_force" = "$version" ] || fail "$id has note $in_force instead of $version"
  done
}

# field FILE NAME prints a value of a JSON file with one string a line.
field() { sed -n "s/.*\"$2\": *\"\([^\"]*\)\".*/\1/p" "$1"; }

register() { # ID ZONE STATE
  local file=$work/$1.addresses
  call POST "http://$platform/standin/instances" --body "{\"id\": \"$1\", \"zone\": \"$2\", \"state\": \"$3\",
    \"flow_address\": \"$(field "$file" flows)\", \"peer_address\": \"$(field "$file" peers)\",
    \"request_address\": \"$(field "$file" requests)\"}"
}

# start_instance ID ZONE starts an entry instance and lists it at the platform.
start_instance() {
  cat >"$work/$1.toml" <<TOML
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
  rm -f "$work/$1.addresses"
  start "$1" bin/savorytillerd --config "$work/$1.toml" --addresses-file "$work/$1.addresses"
  wait_file "$work/$1.addresses" "$1"
  register "$1" "$2" live
}

# wait_ready ID waits until the instance passes its readiness check.
wait_ready() {
  for _ in $(seq 100); do
    if call GET "http://$(field "$work/$1.addresses" operators)/ready" >/dev/null 2>&1; then return; fi
    kill -0 "${pids[$1]}" 2>/dev/null || fail "$1 ended early: $(tail -n 5 "$work/$1.log")"
    sleep 0.1
  done
  fail "$1 has not become ready: $(tail -n 5 "$work/$1.log")"
}

# leave ID ZONE shuts an instance down gracefully and waits for its end.
leave() {
  register "$1" "$2" leaving
  kill -TERM "${pids[$1]}"
  local status=0
  wait "${pids[$1]}" || status=$?
  unset "pids[$1]"
  call DELETE "http://$platform/standin/instances/$1"
  [ "$status" = 0 ] || fail "$1 left with status $status: $(tail -n 5 "$work/$1.log")"
}

# start_fleet starts 7 instances spread over the availability zones in $zones.
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

# await_members waits until every instance holds all others live, as in a fleet
# that has been running for a while.
await_members() {
  local id live
  for id in "${instances[@]}"; do
    for _ in $(seq 150); do
      live=$(call GET "http://$(field "$work/$id.addresses" operators)/status" | grep -o '"liveness": *"live"' | wc -l)
      if [ "$live" = "${#instances[@]}" ]; then continue 2; fi
      sleep 0.1
    done
    fail "$id holds $live instead of ${#instances[@]} instances live after 15 s"
  done
}

start_load() { # SECONDS OPTIONS...
  local seconds=$1
  shift
  start load bin/savoryload --deployment "$name" --fabric "$fabric" --platform "$platform" --backend "$backend" \
    --duration "${seconds}s" --seed "$seed" --json "$work/report.json" "$@"
}

# costs prints the highest memory, CPU time and bytes to peers of the running
# instances, for the whole process and since its start.
costs() {
  local id metrics uptime memory=0 cpu=0 bytes=0 value
  for id in "${instances[@]}"; do
    kill -0 "${pids[$id]:-0}" 2>/dev/null || continue
    metrics=$(call GET "http://$(field "$work/$id.addresses" operators)/metrics" | tr -d ' \n') || continue
    uptime=$(call GET "http://$(field "$work/$id.addresses" operators)/status" | tr -d ' \n' |
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

gauge() { sed -n "s/.*\"$1\":\([0-9]*\).*/\1/p" <<<"$metrics"; }

# save_state keeps what the instances show their operators, for a failed run.
save_state() {
  local id page
  for id in "${instances[@]}"; do
    for page in status metrics explain; do
      call GET "http://$(field "$work/$id.addresses" operators)/$page" >"$work/$id.$page.json" 2>&1 || true
    done
  done
}

# finish_load prints the summary and returns the exit status of the load tool.
finish_load() {
  local status=0
  wait "${pids[load]}" || status=$?
  unset "pids[load]"
  cat "$work/load.log"
  if [ "$status" != 0 ]; then save_state; fi
  costs
  echo "  configuration service: $(call GET "http://$platform/standin/stats")"
  return "$status"
}
