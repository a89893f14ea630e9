#!/usr/bin/env bash
# Breaks real processes under load and prints, for each fault, whether the
# promises held: accepted changes lost, keyed requests run twice, and how long no
# change was accepted (the time without a leader). FLEET=agence|madryn.
set -uo pipefail
cd "$(dirname "$0")/.."
source scripts/lib.sh

FLEET="${FLEET:-agence}"
FREEZE_SECONDS=20
RESTART_CHANGES=600
ROWS=()
ROW=0

# writer RECORD ARGUMENT...: gives changes and records the accepted ones.
writer() {
  local record="$1"
  shift
  start writer "$BIN/lilacload" changes --endpoint "$(addresses operators "${ENTRIES[@]}")" \
    --token-file "$WORK/keys/operator.token" --record "$record" "$@"
}

# number TEXT FILE: the number before (or after) the text in the file's last line with it.
number_before() { grep -oE "[0-9]+ $1" "$2" | tail -1 | grep -oE '^[0-9]+'; }
number_after() { grep -oE "$1 [0-9]+" "$2" | tail -1 | grep -oE '[0-9]+$'; }

# row NAME SECONDS FAULT: runs load and writer for the seconds, and the fault in them.
row() {
  local name="$1" seconds="$2" act="$3" verdict=held
  ROW=$((ROW + 1))
  local load_log="$WORK/log/load-$ROW.log" record="$WORK/changes-$ROW.json" verify_log="$WORK/log/verify-$ROW.log"
  say "-- $name"
  load --seed "$((100 + ROW))" --duration "${seconds}s" "${LOAD_FLAGS[@]}" > "$load_log" 2>&1 &
  PID[load]=$!
  : > "$WORK/log/writer.log"
  writer "$record" --prefix "row$ROW" --duration "${seconds}s"
  sleep 3
  "$act" || { broken "$name: the fault could not be made"; verdict=broken; }
  wait_end load $((seconds + 40)) || { broken "$name: the load did not end"; verdict=broken; STATUS=1; }
  ((STATUS == 0)) || { broken "$name: $(tail -1 "$load_log")"; verdict=broken; }
  wait_end writer 60 || { broken "$name: the writer did not end"; verdict=broken; STATUS=1; }
  ((STATUS == 0)) || { broken "$name: the writer: $(tail -1 "$WORK/log/writer.log")"; verdict=broken; }
  verify "$record" > "$verify_log" 2>&1 || { broken "$name: accepted changes: $(tail -2 "$verify_log" | tr '\n' ' ')"; verdict=broken; }
  ROWS+=("$(printf '%-46s %-7s %8s %8s %8s %12s' "$name" "$verdict" "$(number_after accepted "$verify_log")" \
    "$(number_after lost "$verify_log")" "$(number_before 'double runs' "$load_log")" "$(number_after longest_gap_ms "$WORK/log/writer.log")")")
  cat "$load_log"
  say "${ROWS[-1]}"
}

verify() {
  "$BIN/lilacload" verify --endpoint "$(addresses operators "${ENTRIES[@]}")" --token-file "$WORK/keys/operator.token" --record "$1"
}

LOAD_FLAGS=()

kill_leader() {
  local name
  name="$(leader)"
  [[ -n "$name" ]] || return 1
  kill_hard "$name"
  sleep 4
  start_state "$name"
}

freeze_leader() {
  local name
  name="$(leader)"
  [[ -n "$name" ]] || return 1
  signal "$name" STOP
  sleep "$FREEZE_SECONDS"
  signal "$name" CONT
}

# a_follower prints a state process that does not lead.
a_follower() {
  local name now
  now="$(leader)"
  for name in "${STATES[@]}"; do [[ "$name" != "$now" ]] && { printf '%s' "$name"; return; }; done
}

empty_voter() {
  local name
  name="$(a_follower)"
  kill_hard "$name"
  sleep 2
  rm -rf "${WORK:?}/$(field "$name" data)"
  # Its settings still say bootstrap: true; it must join all the same, not found.
  start_state "$name"
  sleep 6
  alive "$name" || { tail -3 "$WORK/log/$name.log" >&2; return 1; }
  # A second failure right after the repair.
  kill_leader
}

# lose_majority kills the leader and another voter and takes both folders away,
# founds a new group from the third, lets both old disks come back, and then
# starts both processes empty.
lose_majority() {
  local name survivor="" lost=() begun now
  now="$(leader)"
  [[ -n "$now" ]] || return 1
  for name in "${STATES[@]}"; do
    if [[ -z "$survivor" && "$name" != "$now" ]]; then survivor="$name"; else lost+=("$name"); fi
  done
  for name in "${lost[@]}"; do signal "$name" KILL; done
  for name in "${lost[@]}"; do kill_hard "$name"; done
  for name in "${lost[@]}"; do mv "$WORK/$(field "$name" data)" "$WORK/old-$name"; done
  sleep 2
  stop_one "$survivor" || return 1
  begun="$(date +%s%3N)"
  recover_group "$survivor" || return 1
  start_state "$survivor"
  accepted_again || return 1
  say "accepted again $(($(date +%s%3N) - begun)) ms after lilacctl recover was begun"
  old_disks_refused "${lost[@]}" || return 1
  for name in "${lost[@]}"; do start_state "$name"; done
  voters_are "${#STATES[@]}" || { say "the two that came back empty are no voters after 20 s" >&2; return 1; }
}

# stop_one NAME: SIGTERM, and wait.
stop_one() {
  signal "$1" TERM
  wait_end "$1" 15
}

# recover_group NAME: founds a new group from the folder of a stopped state process.
recover_group() {
  (cd "$WORK" && "$BIN/lilacctl" recover "conf/$1.yaml" --entry "$(addresses link "${ENTRIES[@]}")" --who "make fail" --key-margin 2s --confirm) \
    > "$WORK/log/recover.log" 2>&1 || { cat "$WORK/log/recover.log" >&2; return 1; }
}

# accepted_again: true once a change is accepted.
accepted_again() {
  local tries=100
  until ctl exec "SET TEAM accepted-again WEIGHT 1" > /dev/null 2>&1; do
    ((tries-- > 0)) || return 1
    sleep 0.05
  done
}

# old_disks_refused NAME...: lost voters that come back with their old folders, a
# quorum of the old group, must end by themselves and say why; the folders are
# then deleted.
old_disks_refused() {
  local name
  for name in "$@"; do mv "$WORK/old-$name" "$WORK/$(field "$name" data)"; done
  for name in "$@"; do start_state "$name"; done
  for name in "$@"; do
    wait_end "$name" 15 || { say "$name runs on its old disk" >&2; return 1; }
    ((STATUS != 0)) && grep -q "move the folder away" "$WORK/log/$name.log" || { say "$name does not say why it ended" >&2; return 1; }
    rm -rf "${WORK:?}/$(field "$name" data)"
  done
}

# voters_are COUNT: waits until the group has so many voters.
voters_are() {
  local tries=100
  until (($(ctl exec 'SHOW STATE WHERE role = "leader" ORDER BY term DESC LIMIT 1' 2> /dev/null | awk 'NR == 2 { print $8 }' | tr ',' '\n' | wc -l) >= $1)); do
    ((tries-- > 0)) || return 1
    sleep 0.2
  done
}

restart_all() {
  local name
  for name in "${STATES[@]}" "${ENTRIES[@]}"; do signal "$name" KILL; done
  for name in "${STATES[@]}" "${ENTRIES[@]}"; do kill_hard "$name"; done
  for name in "${STATES[@]}"; do start_state "$name"; done
  for name in "${ENTRIES[@]}"; do start_entry "$name"; done
  for name in "${ENTRIES[@]}"; do wait_ready "$name" 20 || return 1; done
}

# kill_entry kills an entry that waits for slow answers of claimed requests.
kill_entry() {
  local name="${ENTRIES[0]}"
  kill_hard "$name"
  sleep 3
  start_entry "$name"
  wait_ready "$name" 15
}

slow_services() {
  local address
  while read -r _ address _; do fault "$address" "{\"straggle\": $1}"; done < <(servers_of service)
}

prepare "$FLEET"
start_fleet || verdict fail
ctl apply -f "$WORK/conf/fleet.yaml" > "$WORK/log/apply.log" 2>&1 || { broken "the fleet's file was not accepted: $(tail -1 "$WORK/log/apply.log")"; verdict fail; }
sleep 1

row "kill -9 of the leader" 12 kill_leader
row "leader frozen for $FREEZE_SECONDS s, then woken" $((FREEZE_SECONDS + 8)) freeze_leader
row "data folder of a voter deleted, then a leader lost" 24 empty_voter

say "-- $RESTART_CHANGES changes before the restart"
writer "$WORK/changes-many.json" --prefix many --count "$RESTART_CHANGES" --interval 0
wait_end writer 90 || broken "$RESTART_CHANGES changes were not given in 90 s"
tail -1 "$WORK/log/writer.log"
row "all restarted at once after $RESTART_CHANGES changes" 14 restart_all
verify "$WORK/changes-many.json" || broken "changes given before the restart are lost"

# Every keyed request is sent again at another time and entry, after the kill.
sed -E 's/, resend_after: [0-9a-z]+//; s/rate: ([0-9]+), keyed_share: 1, resend_share: [0-9.]+/rate: \10, keyed_share: 1, resend_share: 1, resend_after: 2500ms/' \
  "$WORK/conf/load.yaml" > "$WORK/conf/load-resend.yaml"
slow_services 40
LOAD_FLAGS=(--plan "$WORK/conf/load-resend.yaml")
row "kill -9 of an entry with claims in progress" 12 kill_entry
keyed="$(sed -nE 's/.*class: ([a-z-]+),.*keyed_share: 1,.*/\1/p' "$WORK/conf/load.yaml" | paste -sd '|')"
grep -qE "^ *($keyed) .*cut:[1-9]" "$WORK/log/load-$ROW.log" || broken "no claim was in progress when the entry was killed: the row shows nothing"
slow_services 1

# Keys carry their time, so that those made after the recovery are taken.
sed 's/^seed:/timed_keys: true\nseed:/' "$WORK/conf/load.yaml" > "$WORK/conf/load-timed.yaml"
LOAD_FLAGS=(--plan "$WORK/conf/load-timed.yaml")
row "two of three disks lost for good, recovered" 30 lose_majority

printf '\n%-46s %-7s %8s %8s %8s %12s\n' fault verdict accepted lost double "no leader ms"
printf '%s\n' "${ROWS[@]}"
stop_all
verdict fail
