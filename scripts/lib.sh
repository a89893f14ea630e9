# Functions shared by the scripts in this folder, to be sourced by bash.
#
# A fleet runs on free loopback ports in a temporary folder. Signals are only sent
# to processes started by this shell, by process ID.

WORK=""
declare -A PID=()
BIN="$PWD/bin"
# The files in examples/ use ports 71xx and 72xx.
PORT_PATTERN='127\.0\.0\.1:7[12][0-9][0-9]'

# Header bytes of a packet; see connection/packets.
HEADER_BYTES=52

say() { printf '%s\n' "$*"; }

# print_machine_load prints the load and free memory of the machine, since an
# overloaded machine delays every process.
print_machine_load() {
  [[ -r /proc/loadavg && -r /proc/meminfo ]] || return 0
  say "machine: $(nproc) cores, load $(cut -d' ' -f1-2 /proc/loadavg), $(awk '/^MemAvailable/ { print int($2 / 1024) }' /proc/meminfo) MB of memory free"
}

record_failure() {
  say "failed: $*" >&2
  FAILURES+=("$*")
}
FAILURES=()

# prepare FLEET: copies the fleet's files with free ports and generates keys.
prepare() {
  print_machine_load
  local fleet="$1" from to map=""
  WORK="$(mktemp -d "${TMPDIR:-/tmp}/lilacbridge.XXXXXX")"
  trap 'cleanup' EXIT
  trap 'exit 130' INT TERM
  mkdir -p "$WORK/log" "$WORK/keys" "$WORK/conf"
  make_keys
  mapfile -t from < <(grep -ohE "$PORT_PATTERN" "examples/$fleet"/* | sort -u)
  mapfile -t to < <("$BIN/lilacload" ports "${#from[@]}")
  local i
  for i in "${!from[@]}"; do map+="s/${from[$i]//./\\.}/127.0.0.1:${to[$i]}/g;"; done
  local file
  for file in "examples/$fleet"/*.yaml "examples/$fleet"/*.json; do
    sed "$map" "$file" > "$WORK/conf/$(basename "$file")"
  done
  mapfile -t STATES < <(cd "$WORK/conf" && ls state-*.yaml | sed 's/\.yaml$//')
  mapfile -t ENTRIES < <(cd "$WORK/conf" && ls entry-*.yaml | sed 's/\.yaml$//')
}

# make_keys writes random keys with permissions for the owner only.
make_keys() {
  local name
  (
    umask 077
    for name in link caller; do head -c 24 /dev/urandom | base64 > "$WORK/keys/$name.key"; done
    head -c 24 /dev/urandom | base64 | tr -d '/+=' > "$WORK/keys/operator.token"
    printf 'demo %s\n' "$(cat "$WORK/keys/operator.token")" > "$WORK/keys/operators"
  )
  chmod 600 "$WORK"/keys/*
}

# start NAME COMMAND...: starts a process in the work folder, with its own log.
start() {
  local name="$1"
  shift
  (cd "$WORK" && exec "$@" >> "log/$name.log" 2>&1) &
  PID[$name]=$!
}

# is_running NAME: reports whether the process runs.
is_running() { [[ -n "${PID[$1]:-}" ]] && kill -0 "${PID[$1]}" 2> /dev/null; }

# signal NAME SIGNAL: sends a signal to the process.
signal() { kill "-$2" "${PID[$1]}" 2> /dev/null; }

# wait_exit NAME SECONDS: reports whether the process exits in time; sets STATUS to
# its exit status.
wait_exit() {
  local tries=$(($2 * 20))
  while is_running "$1" && ((tries-- > 0)); do sleep 0.05; done
  is_running "$1" && return 1
  wait "${PID[$1]}" 2> /dev/null
  STATUS=$?
  unset "PID[$1]"
}

# kill_and_wait NAME: sends SIGKILL and waits for the exit.
kill_and_wait() {
  signal "$1" KILL
  wait "${PID[$1]}" 2> /dev/null
  unset "PID[$1]"
}

# stop_all stops all remaining processes with SIGTERM, and after 3 s with SIGKILL.
stop_all() {
  local name
  for name in "${!PID[@]}"; do
    signal "$name" CONT
    signal "$name" TERM
  done
  local tries=60
  while ((tries-- > 0)); do
    local left=0
    for name in "${!PID[@]}"; do is_running "$name" && left=1; done
    ((left)) || break
    sleep 0.05
  done
  for name in "${!PID[@]}"; do
    is_running "$name" && signal "$name" KILL
    wait "${PID[$name]}" 2> /dev/null
    unset "PID[$name]"
  done
}

# cleanup stops all processes and removes the work folder unless a check failed or
# KEEP is set.
cleanup() {
  local status=$?
  trap - EXIT INT TERM
  stop_all
  if ((status == 0)) && [[ -z "${KEEP:-}" ]]; then
    rm -rf "$WORK"
  else
    say "logs and settings are kept in $WORK" >&2
  fi
  exit "$status"
}

# setting NAME KEY: prints a top-level value of a process's settings.
setting() { sed -n "s/^$2: *//p" "$WORK/conf/$1.yaml" | head -1; }

# addresses KEY NAME...: prints this setting of each process, separated by commas.
addresses() {
  local key="$1" name all=()
  shift
  for name in "$@"; do all+=("$(setting "$name" "$key")"); done
  (IFS=,; printf '%s' "${all[*]}")
}

# servers_of KIND: prints "name address model" of each server in the fleet's file.
servers_of() {
  sed -nE "s/^  - \{name: ([^,]+), address: \"([^\"]+)\",.* kind: $1, serves: \[([^]]+)\].*/\1 \2 \3/p" "$WORK/conf/fleet.yaml"
}

address_of() { servers_of "${2:-engine}" | awk -v n="$1" '$1 == n { print $2 }'; }

ENGINE_FLAGS=(--per-token 20ms --first-token 30ms --slots 8)
SERVICE_FLAGS=(--latency 30ms)

start_engine() { start "$1" "$BIN/lilacbridge-standin" engine --listen "$2" --model "$3" "${ENGINE_FLAGS[@]}"; }
start_service() { start "$1" "$BIN/lilacbridge-standin" service --listen "$2" "${SERVICE_FLAGS[@]}"; }
start_state() { start "$1" "$BIN/lilacbridge-state" --settings "conf/$1.yaml"; }
start_entry() { start "$1" "$BIN/lilacbridge-entry" --settings "conf/$1.yaml"; }

start_backends() {
  local list name address serves
  list="$(setting "${ENTRIES[0]}" instance_list)"
  list="${list#http://}"
  start platform "$BIN/lilacbridge-standin" platform --listen "${list%%/*}" --file conf/instances.json
  while read -r name address serves; do start_engine "$name" "$address" "$serves"; done < <(servers_of engine)
  while read -r name address serves; do start_service "$name" "$address"; done < <(servers_of service)
}

# start_fleet starts all processes and waits until every entry is ready. The entries
# start first, to check that they are not ready without a configuration.
start_fleet() {
  local name
  start_backends
  for name in "${ENTRIES[@]}"; do start_entry "$name"; done
  not_ready "${ENTRIES[0]}" || record_failure "${ENTRIES[0]} does not answer /readyz with 503 without a configuration"
  for name in "${STATES[@]}"; do start_state "$name"; done
  for name in "${ENTRIES[@]}"; do
    if ! wait_ready "$name" 15; then
      record_failure "$name is not ready after 15 s: $(curl -s -m 2 "http://$(setting "$name" admin)/readyz" || true)"
      tail -5 "$WORK/log/$name.log" >&2
      return 1
    fi
  done
}

# not_ready NAME: succeeds once /readyz answers with 503; fails on any other answer, or
# without one in 5 s.
not_ready() {
  local tries=50 code
  while ((tries-- > 0)); do
    code="$(curl -s -m 2 -o /dev/null -w '%{http_code}' "http://$(setting "$1" admin)/readyz")"
    [[ "$code" == 503 ]] && return 0
    [[ "$code" == 000 ]] || return 1
    sleep 0.1
  done
  return 1
}

# wait_ready NAME SECONDS: waits until the entry is ready.
wait_ready() {
  local tries=$(($2 * 10))
  until curl -sf -m 2 -o /dev/null "http://$(setting "$1" admin)/readyz"; do
    ((tries-- > 0)) && is_running "$1" || return 1
    sleep 0.1
  done
}

# ctl ARGUMENT...: runs lilacctl with the endpoints of all entries.
ctl() {
  "$BIN/lilacctl" --endpoint "$(addresses operators "${ENTRIES[@]}")" --token-file "$WORK/keys/operator.token" "$@"
}

# ctl_entry ENTRY ARGUMENT...: runs lilacctl with the endpoint of one entry.
ctl_entry() {
  local entry="$1"
  shift
  "$BIN/lilacctl" --endpoint "$(setting "$entry" operators)" --token-file "$WORK/keys/operator.token" "$@"
}

# load ARGUMENT...: runs the load generator against all entries.
load() {
  "$BIN/lilacload" run --plan "$WORK/conf/load.yaml" --fleet "$WORK/conf/fleet.yaml" --key-file "$WORK/keys/caller.key" \
    --entry "$(addresses callers "${ENTRIES[@]}")" "$@"
}

# set_fault ADDRESS JSON: configures a fault of a simulated backend server.
set_fault() { curl -s -m 2 -o /dev/null -d "$2" "http://$1/fault"; }

# find_leader prints the state process that leads in the newest term, if any.
find_leader() {
  ctl exec 'SHOW STATE WHERE role = "leader" ORDER BY term DESC LIMIT 1' 2> /dev/null | awk 'NR == 2 { print $1 }'
}

# report_result NAME: prints "NAME: ok", or the failures and exits with 1.
report_result() {
  print_machine_load
  if ((${#FAILURES[@]} == 0)); then
    say "$1: ok"
    return 0
  fi
  local one
  for one in "${FAILURES[@]}"; do say "$1: failed: $one"; done
  exit 1
}
