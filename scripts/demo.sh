#!/usr/bin/env bash
# Runs a whole fleet on loopback under load: changes a class in the middle, shuts
# one entry down with streams open, and checks every answer. FLEET=agence|madryn.
set -uo pipefail
cd "$(dirname "$0")/.."
source scripts/lib.sh

FLEET="${FLEET:-agence}"
[[ -f "examples/$FLEET/fleet.yaml" ]] || { say "no fleet $FLEET under examples/" >&2; exit 2; }

# The class that the statement changes, to a target that no file holds.
case "$FLEET" in
  madryn) CLASS=dispatch ;;
  *) CLASS=alerts ;;
esac
TARGET=419ms
FORCE_SECONDS=13

# in_force ENTRY: true when the entry itself shows the new target.
in_force() { ctl_at "$1" exec "SHOW CLASSES WHERE class = \"$CLASS\"" 2> /dev/null | grep -q "$TARGET"; }

change_class() {
  local began=$SECONDS name waiting=("${ENTRIES[@]}")
  ctl exec "SET CLASS $CLASS FIRST TOKEN $TARGET" || { broken "the statement was not accepted"; return; }
  while ((${#waiting[@]} > 0)); do
    ((SECONDS - began <= FORCE_SECONDS)) || { broken "$CLASS is not changed after $FORCE_SECONDS s at: ${waiting[*]}"; return; }
    local still=()
    for name in "${waiting[@]}"; do in_force "$name" || still+=("$name"); done
    waiting=("${still[@]}")
  done
  say "class $CLASS: first token $TARGET is in force at ${#ENTRIES[@]} entries"
  ctl exec "SHOW AUDIT ORDER BY revision DESC LIMIT 3" || broken "the audit trail does not answer"
}

# streams ENTRY: the number of requests that the entry holds.
streams() { ctl_at "$1" -o json exec "SHOW REQUESTS WHERE instance = \"$1\"" 2> /dev/null | tr -d ' \n' | grep -o "\[\"$1\"" | wc -l; }

shut_down_entry() {
  local name="${ENTRIES[1]}" open tries=50
  until open="$(streams "$name")" && ((open > 0)); do
    ((tries-- > 0)) || { broken "no request was open at $name before its shutdown"; break; }
  done
  signal "$name" TERM
  say "$name: shut down with $open requests open"
  if ! wait_end "$name" 25; then
    broken "$name did not end 25 s after SIGTERM"
  elif ((STATUS != 0)); then
    broken "$name ended with status $STATUS after SIGTERM"
  fi
}

prepare "$FLEET"
say "fleet $FLEET: ${#STATES[@]} state processes, ${#ENTRIES[@]} entries, $(servers_of engine | wc -l) engines, $(servers_of service | wc -l) services"
start_fleet || verdict demo
ctl apply -f "$WORK/conf/fleet.yaml" > "$WORK/log/apply.log" 2>&1 || { broken "the fleet's file was not accepted: $(tail -1 "$WORK/log/apply.log")"; verdict demo; }
tail -1 "$WORK/log/apply.log"
sleep 1
load --no-cuts --min-whole 0.9 --json "$WORK/report.json" > "$WORK/log/load.log" 2>&1 &
PID[load]=$!
sleep 3
change_class
sleep 1
shut_down_entry
wait_end load 40 || broken "the load did not end"
cat "$WORK/log/load.log"
((${STATUS:-1} == 0)) || broken "the load tool: $(tail -1 "$WORK/log/load.log")"
stop_all
verdict demo
