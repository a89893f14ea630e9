#!/usr/bin/env bash
# Runs a fleet on loopback under load, changes a class, shuts down an entry with open
# streams, and checks every answer. FLEET=agence|madryn.
set -uo pipefail
cd "$(dirname "$0")/.."
source scripts/lib.sh

FLEET="${FLEET:-agence}"
[[ -f "examples/$FLEET/fleet.yaml" ]] || { say "no fleet $FLEET under examples/" >&2; exit 2; }

# The class to change, and a target that differs from the one in the fleet's file.
case "$FLEET" in
  madryn) CLASS=dispatch ;;
  *) CLASS=alerts ;;
esac
TARGET=419ms
FORCE_SECONDS=13

# in_force ENTRY: reports whether the entry has the new target.
in_force() { ctl_entry "$1" exec "SHOW CLASSES WHERE class = \"$CLASS\"" 2> /dev/null | grep -q "$TARGET"; }

change_class() {
  local started=$SECONDS name waiting=("${ENTRIES[@]}")
  ctl exec "SET CLASS $CLASS FIRST TOKEN $TARGET" || { record_failure "the statement was not accepted"; return; }
  while ((${#waiting[@]} > 0)); do
    ((SECONDS - started <= FORCE_SECONDS)) || { record_failure "$CLASS is not changed after $FORCE_SECONDS s at: ${waiting[*]}"; return; }
    local still=()
    for name in "${waiting[@]}"; do in_force "$name" || still+=("$name"); done
    waiting=("${still[@]}")
  done
  say "class $CLASS: first token $TARGET is in force at ${#ENTRIES[@]} entries"
  ctl exec "SHOW AUDIT ORDER BY revision DESC LIMIT 3" || record_failure "the audit trail does not answer"
}

# streams ENTRY: prints the number of requests in progress at the entry.
streams() { ctl_entry "$1" -o json exec "SHOW REQUESTS WHERE instance = \"$1\"" 2> /dev/null | tr -d ' \n' | grep -o "\[\"$1\"" | wc -l; }

shut_down_entry() {
  local name="${ENTRIES[1]}" open tries=50
  until open="$(streams "$name")" && ((open > 0)); do
    ((tries-- > 0)) || { record_failure "no request was open at $name before its shutdown"; break; }
  done
  signal "$name" TERM
  say "$name: shut down with $open requests open"
  if ! wait_exit "$name" 25; then
    record_failure "$name did not exit within 25 s after SIGTERM"
  elif ((STATUS != 0)); then
    record_failure "$name exited with status $STATUS after SIGTERM"
  fi
}

prepare "$FLEET"
say "fleet $FLEET: ${#STATES[@]} state processes, ${#ENTRIES[@]} entries, $(servers_of engine | wc -l) engines, $(servers_of service | wc -l) services"
start_fleet || report_result demo
ctl apply -f "$WORK/conf/fleet.yaml" > "$WORK/log/apply.log" 2>&1 || { record_failure "the fleet's file was not accepted: $(tail -1 "$WORK/log/apply.log")"; report_result demo; }
tail -1 "$WORK/log/apply.log"
sleep 1
load --no-cuts --min-whole 0.9 --json "$WORK/report.json" > "$WORK/log/load.log" 2>&1 &
PID[load]=$!
sleep 3
change_class
sleep 1
shut_down_entry
wait_exit load 40 || record_failure "the load did not end"
cat "$WORK/log/load.log"
((${STATUS:-1} == 0)) || record_failure "the load generator: $(tail -1 "$WORK/log/load.log")"
stop_all
report_result demo
