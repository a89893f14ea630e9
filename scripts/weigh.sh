#!/usr/bin/env bash
# Weighs real idle processes against the number of teams: resident memory and
# processor time of an entry and of the state processes, in the format of
# "go test -bench", for cmd/lilaccapacity. FLEET=agence|madryn.
set -uo pipefail
cd "$(dirname "$0")/.."
source scripts/lib.sh

FLEET="${FLEET:-agence}"
SIZES=(5000 15000 30000 45000)
# One file of the operators' client may hold 10,000 changes at the most.
CHUNK=5000
SETTLE_SECONDS=4
IDLE_SECONDS=10

# add_teams FROM TO: makes the teams numbered from FROM up to, but not with, TO.
add_teams() {
  local from="$1" last
  while ((from < $2)); do
    last=$((from + CHUNK < $2 ? from + CHUNK : $2))
    {
      echo "teams:"
      seq "$from" $((last - 1)) | sed 's/.*/  - {name: cooperative-&, weight: 1, tokens_per_second: 500}/'
    } > "$WORK/teams.yaml"
    ctl apply -f "$WORK/teams.yaml" > "$WORK/log/apply.log" 2>&1 || { broken "teams $from to $last: $(tail -1 "$WORK/log/apply.log")"; return 1; }
    from=$last
  done
}

# metric NAME METRIC: a process's own figure.
metric() { curl -s -m 2 "http://$(field "$1" admin)/metrics" | awk -v m="$2" '$1 == m { printf "%.6f", $2 }'; }

# weigh NAME ROLE TEAMS: one line of figures.
weigh() {
  local before after rss
  before="$(metric "$1" process_cpu_seconds_total)"
  sleep "$IDLE_SECONDS"
  after="$(metric "$1" process_cpu_seconds_total)"
  rss="$(metric "$1" process_resident_memory_bytes)"
  awk -v n="BenchmarkWeigh/$2/teams=$3" -v a="$after" -v b="$before" -v s="$IDLE_SECONDS" -v r="$rss" \
    'BEGIN { printf "%s\t1\t%.3f core-%%\t%.1f rss-MB\n", n, 100 * (a - b) / s, r / 1048576 }'
}

prepare "$FLEET"
start_fleet || verdict weigh
done_teams=0
for size in "${SIZES[@]}"; do
  add_teams "$done_teams" "$size" || verdict weigh
  done_teams=$size
  sleep "$SETTLE_SECONDS"
  weigh "${ENTRIES[0]}" entry "$size" &
  weigh "$(leader)" leader "$size" &
  wait $(jobs -p | tail -2)
done
stop_all
verdict weigh
