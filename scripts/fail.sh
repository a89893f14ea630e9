#!/usr/bin/env bash
# Injects faults into real processes under load. For each fault it prints the number of
# accepted changes that were lost, of keyed requests that ran twice, and the longest
# time in which no change was accepted (the time without a leader).
# FLEET=agence|madryn.
set -uo pipefail
cd "$(dirname "$0")/.."
source scripts/lib.sh

FLEET="${FLEET:-agence}"
FREEZE_SECONDS=20
RESTART_CHANGES=600
RESULTS=()
CASE=0

# writer RECORD ARGUMENT...: starts a process that makes changes and records the
# accepted ones.
writer() {
  local record="$1"
  shift
  start writer "$BIN/lilacload" changes --endpoint "$(addresses operators "${ENTRIES[@]}")" \
    --token-file "$WORK/keys/operator.token" --record "$record" "$@"
}

# number_before, number_after TEXT FILE: prints the number before or after the last
# occurrence of the text.
number_before() { grep -oE "[0-9]+ $1" "$2" | tail -1 | grep -oE '^[0-9]+'; }
number_after() { grep -oE "$1 [0-9]+" "$2" | tail -1 | grep -oE '[0-9]+$'; }

# run_case NAME SECONDS FAULT: runs the load and the writer for this time, and injects
# the fault after 3 s.
run_case() {
  local name="$1" seconds="$2" inject="$3" result=ok
  CASE=$((CASE + 1))
  local load_log="$WORK/log/load-$CASE.log" record="$WORK/changes-$CASE.json" verify_log="$WORK/log/verify-$CASE.log"
  say "-- $name"
  load --seed "$((100 + CASE))" --duration "${seconds}s" "${LOAD_FLAGS[@]}" > "$load_log" 2>&1 &
  PID[load]=$!
  : > "$WORK/log/writer.log"
  writer "$record" --prefix "row$CASE" --duration "${seconds}s"
  sleep 3
  "$inject" || { record_failure "$name: the fault could not be injected"; result=failed; }
  wait_exit load $((seconds + 40)) || { record_failure "$name: the load did not end"; result=failed; STATUS=1; }
  ((STATUS == 0)) || { record_failure "$name: $(tail -1 "$load_log")"; result=failed; }
  wait_exit writer 60 || { record_failure "$name: the writer did not end"; result=failed; STATUS=1; }
  ((STATUS == 0)) || { record_failure "$name: the writer: $(tail -1 "$WORK/log/writer.log")"; result=failed; }
  verify "$record" > "$verify_log" 2>&1 || { record_failure "$name: accepted changes: $(tail -2 "$verify_log" | tr '\n' ' ')"; result=failed; }
  RESULTS+=("$(printf '%-46s %-7s %8s %8s %8s %12s' "$name" "$result" "$(number_after accepted "$verify_log")" \
    "$(number_after lost "$verify_log")" "$(number_before 'double runs' "$load_log")" "$(number_after longest_gap_ms "$WORK/log/writer.log")")")
  cat "$load_log"
  say "${RESULTS[-1]}"
}

verify() {
  "$BIN/lilacload" verify --endpoint "$(addresses operators "${ENTRIES[@]}")" --token-file "$WORK/keys/operator.token" --record "$1"
}

LOAD_FLAGS=()

kill_leader() {
  local name
  name="$(find_leader)"
  [[ -n "$name" ]] || return 1
  kill_and_wait "$name"
  sleep 4
  start_state "$name"
}

freeze_leader() {
  local name
  name="$(find_leader)"
  [[ -n "$name" ]] || return 1
  signal "$name" STOP
  sleep "$FREEZE_SECONDS"
  signal "$name" CONT
}

# any_follower prints a state process that is not the leader.
any_follower() {
  local name now
  now="$(find_leader)"
  for name in "${STATES[@]}"; do [[ "$name" != "$now" ]] && { printf '%s' "$name"; return; }; done
}

delete_voter_data() {
  local name
  name="$(any_follower)"
  kill_and_wait "$name"
  sleep 2
  rm -rf "${WORK:?}/$(setting "$name" data)"
  # Its settings still contain bootstrap: true, but it must join the existing group.
  start_state "$name"
  sleep 6
  is_running "$name" || { tail -3 "$WORK/log/$name.log" >&2; return 1; }
  # A second fault directly after the repair.
  kill_leader
}

# lose_majority kills the leader and another voter, moves their data folders away, and
# recovers a new group from the third voter. Then it starts the lost voters with their
# old folders, which must be refused, and with empty ones.
lose_majority() {
  local name survivor="" lost=() started now
  now="$(find_leader)"
  [[ -n "$now" ]] || return 1
  for name in "${STATES[@]}"; do
    if [[ -z "$survivor" && "$name" != "$now" ]]; then survivor="$name"; else lost+=("$name"); fi
  done
  for name in "${lost[@]}"; do signal "$name" KILL; done
  for name in "${lost[@]}"; do kill_and_wait "$name"; done
  for name in "${lost[@]}"; do mv "$WORK/$(setting "$name" data)" "$WORK/old-$name"; done
  sleep 2
  stop_and_wait "$survivor" || return 1
  started="$(date +%s%3N)"
  recover_group "$survivor" || return 1
  start_state "$survivor"
  wait_accepted || return 1
  say "accepted again $(($(date +%s%3N) - started)) ms after the start of lilacctl recover"
  check_old_disks_refused "${lost[@]}" || return 1
  for name in "${lost[@]}"; do start_state "$name"; done
  wait_voters "${#STATES[@]}" || { say "the processes restarted with empty folders are not voters after 20 s" >&2; return 1; }
}

# stop_and_wait NAME: sends SIGTERM and waits for the exit.
stop_and_wait() {
  signal "$1" TERM
  wait_exit "$1" 15
}

# recover_group NAME: creates a new group from the folder of a stopped state process.
recover_group() {
  (cd "$WORK" && "$BIN/lilacctl" recover "conf/$1.yaml" --entry "$(addresses link "${ENTRIES[@]}")" --who "make fail" --key-margin 2s --confirm) \
    > "$WORK/log/recover.log" 2>&1 || { cat "$WORK/log/recover.log" >&2; return 1; }
}

# wait_accepted waits until a change is accepted.
wait_accepted() {
  local tries=100
  until ctl exec "SET TEAM accepted-again WEIGHT 1" > /dev/null 2>&1; do
    ((tries-- > 0)) || return 1
    sleep 0.05
  done
}

# check_old_disks_refused NAME...: starts lost voters with their old folders, which are
# a quorum of the old group. They must exit with an error that gives the reason. The
# folders are then deleted.
check_old_disks_refused() {
  local name
  for name in "$@"; do mv "$WORK/old-$name" "$WORK/$(setting "$name" data)"; done
  for name in "$@"; do start_state "$name"; done
  for name in "$@"; do
    wait_exit "$name" 15 || { say "$name still runs on its old folder" >&2; return 1; }
    ((STATUS != 0)) && grep -q "move the folder away" "$WORK/log/$name.log" || { say "$name did not log why it exited" >&2; return 1; }
    rm -rf "${WORK:?}/$(setting "$name" data)"
  done
}

# wait_voters COUNT: waits until the group has at least this number of voters.
wait_voters() {
  local tries=100
  until (($(ctl exec 'SHOW STATE WHERE role = "leader" ORDER BY term DESC LIMIT 1' 2> /dev/null | awk 'NR == 2 { print $8 }' | tr ',' '\n' | wc -l) >= $1)); do
    ((tries-- > 0)) || return 1
    sleep 0.2
  done
}

restart_all() {
  local name
  for name in "${STATES[@]}" "${ENTRIES[@]}"; do signal "$name" KILL; done
  for name in "${STATES[@]}" "${ENTRIES[@]}"; do kill_and_wait "$name"; done
  for name in "${STATES[@]}"; do start_state "$name"; done
  for name in "${ENTRIES[@]}"; do start_entry "$name"; done
  for name in "${ENTRIES[@]}"; do wait_ready "$name" 20 || return 1; done
}

# kill_entry kills an entry with claimed requests in progress.
kill_entry() {
  local name="${ENTRIES[0]}"
  kill_and_wait "$name"
  sleep 3
  start_entry "$name"
  wait_ready "$name" 15
}

slow_services() {
  local address
  while read -r _ address _; do set_fault "$address" "{\"straggle\": $1}"; done < <(servers_of service)
}

prepare "$FLEET"
start_fleet || report_result fail
ctl apply -f "$WORK/conf/fleet.yaml" > "$WORK/log/apply.log" 2>&1 || { record_failure "the fleet's file was not accepted: $(tail -1 "$WORK/log/apply.log")"; report_result fail; }
sleep 1

run_case "kill -9 of the leader" 12 kill_leader
run_case "leader frozen for $FREEZE_SECONDS s, then resumed" $((FREEZE_SECONDS + 8)) freeze_leader
run_case "data folder of a voter deleted, then a leader lost" 24 delete_voter_data

say "-- $RESTART_CHANGES changes before the restart"
writer "$WORK/changes-many.json" --prefix many --count "$RESTART_CHANGES" --interval 0
wait_exit writer 90 || record_failure "$RESTART_CHANGES changes were not made in 90 s"
tail -1 "$WORK/log/writer.log"
run_case "all restarted together after $RESTART_CHANGES changes" 14 restart_all
verify "$WORK/changes-many.json" || record_failure "changes made before the restart are lost"

# Every keyed request is resent to another entry after the kill.
sed -E 's/, resend_after: [0-9a-z]+//; s/rate: ([0-9]+), keyed_share: 1, resend_share: [0-9.]+/rate: \10, keyed_share: 1, resend_share: 1, resend_after: 2500ms/' \
  "$WORK/conf/load.yaml" > "$WORK/conf/load-resend.yaml"
slow_services 40
LOAD_FLAGS=(--plan "$WORK/conf/load-resend.yaml")
run_case "kill -9 of an entry with claims in progress" 12 kill_entry
keyed="$(sed -nE 's/.*class: ([a-z-]+),.*keyed_share: 1,.*/\1/p' "$WORK/conf/load.yaml" | paste -sd '|')"
grep -qE "^ *($keyed) .*cut:[1-9]" "$WORK/log/load-$CASE.log" || record_failure "no claim was in progress when the entry was killed, so the case tests nothing"
slow_services 1

# Keys contain their creation time, so that keys created after the recovery are accepted.
sed 's/^seed:/timed_keys: true\nseed:/' "$WORK/conf/load.yaml" > "$WORK/conf/load-timed.yaml"
LOAD_FLAGS=(--plan "$WORK/conf/load-timed.yaml")
run_case "two of three disks lost, group recovered" 30 lose_majority

printf '\n%-46s %-7s %8s %8s %8s %12s\n' fault result accepted lost double "no leader ms"
printf '%s\n' "${RESULTS[@]}"
stop_all
report_result fail
