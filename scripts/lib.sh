# Functions that the demo, the failure runs and the soak share. Sourced by bash.
#
# A fleet runs on free loopback ports in a temporary folder. Only processes that
# this shell started are ever signalled, each by its id.

WORK=""
declare -A PID=()
BIN="$PWD/bin"
# Every file of a fleet uses ports 71xx or 72xx; see examples/.
PORT_PATTERN='127\.0\.0\.1:7[12][0-9][0-9]'

# What a packet carries besides its data; see connection/packets.
HEADER_BYTES=52

say() { printf '%s\n' "$*"; }

# machine: how busy the machine is besides; a starved one stalls every process.
machine() {
  [[ -r /proc/loadavg && -r /proc/meminfo ]] || return 0
  say "machine: $(nproc) cores, load $(cut -d' ' -f1-2 /proc/loadavg), $(awk '/^MemAvailable/ { print int($2 / 1024) }' /proc/meminfo) MB of memory free"
}

broken() {
  say "broken: $*" >&2
  BROKEN+=("$*")
}
BROKEN=()

# prepare FLEET: maps every port of the fleet's files to a free one and makes keys.
prepare() {
  machine
  local fleet="$1" from to map=""
  WORK="$(mktemp -d "${TMPDIR:-/tmp}/lilacbridge.XXXXXX")"
  trap 'finish_trap' EXIT
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

# make_keys writes random keys that only their owner can read.
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

# start NAME COMMAND...: runs a process in the work folder, with a log of its own.
start() {
  local name="$1"
  shift
  (cd "$WORK" && exec "$@" >> "log/$name.log" 2>&1) &
  PID[$name]=$!
}

# alive NAME
alive() { [[ -n "${PID[$1]:-}" ]] && kill -0 "${PID[$1]}" 2> /dev/null; }

# signal NAME SIGNAL
signal() { kill "-$2" "${PID[$1]}" 2> /dev/null; }

# wait_end NAME SECONDS: true when the process ended in time; its status in STATUS.
wait_end() {
  local tries=$(($2 * 20))
  while alive "$1" && ((tries-- > 0)); do sleep 0.05; done
  alive "$1" && return 1
  wait "${PID[$1]}" 2> /dev/null
  STATUS=$?
  unset "PID[$1]"
}

# kill_hard NAME: kill -9 and wait.
kill_hard() {
  signal "$1" KILL
  wait "${PID[$1]}" 2> /dev/null
  unset "PID[$1]"
}

# stop_all ends every process that is left: first politely, then by force.
stop_all() {
  local name
  for name in "${!PID[@]}"; do
    signal "$name" CONT
    signal "$name" TERM
  done
  local tries=60
  while ((tries-- > 0)); do
    local left=0
    for name in "${!PID[@]}"; do alive "$name" && left=1; done
    ((left)) || break
    sleep 0.05
  done
  for name in "${!PID[@]}"; do
    alive "$name" && signal "$name" KILL
    wait "${PID[$name]}" 2> /dev/null
    unset "PID[$name]"
  done
}

# finish_trap leaves no process behind, and the logs only where something broke.
finish_trap() {
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

# field NAME KEY: a top-level value of a process's settings.
field() { sed -n "s/^$2: *//p" "$WORK/conf/$1.yaml" | head -1; }

# addresses KEY NAME...: that value of each, joined by commas.
addresses() {
  local key="$1" name all=()
  shift
  for name in "$@"; do all+=("$(field "$name" "$key")"); done
  (IFS=,; printf '%s' "${all[*]}")
}

# servers_of KIND: "name address model" of each server of the fleet's file.
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
  list="$(field "${ENTRIES[0]}" instance_list)"
  list="${list#http://}"
  start platform "$BIN/lilacbridge-standin" platform --listen "${list%%/*}" --file conf/instances.json
  while read -r name address serves; do start_engine "$name" "$address" "$serves"; done < <(servers_of engine)
  while read -r name address serves; do start_service "$name" "$address"; done < <(servers_of service)
}

# start_fleet starts everything and waits until every entry takes requests. The
# entries start first: without a configuration they must not call themselves ready.
start_fleet() {
  local name
  start_backends
  for name in "${ENTRIES[@]}"; do start_entry "$name"; done
  not_ready "${ENTRIES[0]}" || broken "${ENTRIES[0]} without a configuration does not answer /readyz with 503"
  for name in "${STATES[@]}"; do start_state "$name"; done
  for name in "${ENTRIES[@]}"; do
    if ! wait_ready "$name" 15; then
      broken "$name is not ready after 15 s: $(curl -s -m 2 "http://$(field "$name" admin)/readyz" || true)"
      tail -5 "$WORK/log/$name.log" >&2
      return 1
    fi
  done
}

# not_ready NAME: true once /readyz answers 503; false on any other answer or none in 5 s.
not_ready() {
  local tries=50 code
  while ((tries-- > 0)); do
    code="$(curl -s -m 2 -o /dev/null -w '%{http_code}' "http://$(field "$1" admin)/readyz")"
    [[ "$code" == 503 ]] && return 0
    [[ "$code" == 000 ]] || return 1
    sleep 0.1
  done
  return 1
}

# wait_ready NAME SECONDS
wait_ready() {
  local tries=$(($2 * 10))
  until curl -sf -m 2 -o /dev/null "http://$(field "$1" admin)/readyz"; do
    ((tries-- > 0)) && alive "$1" || return 1
    sleep 0.1
  done
}

# ctl ARGUMENT...: the operators' client, at all entries in turn.
ctl() {
  "$BIN/lilacctl" --endpoint "$(addresses operators "${ENTRIES[@]}")" --token-file "$WORK/keys/operator.token" "$@"
}

# ctl_at ENTRY ARGUMENT...: the same at one entry.
ctl_at() {
  local entry="$1"
  shift
  "$BIN/lilacctl" --endpoint "$(field "$entry" operators)" --token-file "$WORK/keys/operator.token" "$@"
}

# load ARGUMENT...: runs the load tool against all entries.
load() {
  "$BIN/lilacload" run --plan "$WORK/conf/load.yaml" --fleet "$WORK/conf/fleet.yaml" --key-file "$WORK/keys/caller.key" \
    --entry "$(addresses callers "${ENTRIES[@]}")" "$@"
}

# fault ADDRESS JSON: sets a fault of a stand-in.
fault() { curl -s -m 2 -o /dev/null -d "$2" "http://$1/fault"; }

# leader: the state process that leads in the newest term, or nothing.
leader() {
  ctl exec 'SHOW STATE WHERE role = "leader" ORDER BY term DESC LIMIT 1' 2> /dev/null | awk 'NR == 2 { print $1 }'
}

# verdict NAME: prints NAME: ok, or what broke and exits 1.
verdict() {
  machine
  if ((${#BROKEN[@]} == 0)); then
    say "$1: ok"
    return 0
  fi
  local one
  for one in "${BROKEN[@]}"; do say "$1: broken: $one"; done
  exit 1
}
