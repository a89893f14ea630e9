#!/usr/bin/env bash
# Measures idle processes by the number of teams: resident memory, processor time and
# network traffic of an entry and of the state processes. The output has the format of
# "go test -bench", for cmd/lilaccapacity. FLEET=agence|madryn.
set -uo pipefail
cd "$(dirname "$0")/.."
source scripts/lib.sh

FLEET="${FLEET:-agence}"
SIZES=(5000 15000 30000 45000)
# lilacctl apply accepts at most 10,000 changes in a file.
CHUNK=5000
SETTLE_SECONDS=4
IDLE_SECONDS=10

# add_teams FROM TO: creates the teams with numbers from FROM to TO-1.
add_teams() {
  local from="$1" last
  while ((from < $2)); do
    last=$((from + CHUNK < $2 ? from + CHUNK : $2))
    {
      echo "teams:"
      seq "$from" $((last - 1)) | sed 's/.*/  - {name: cooperative-&, weight: 1, tokens_per_second: 500}/'
    } > "$WORK/teams.yaml"
    ctl apply -f "$WORK/teams.yaml" > "$WORK/log/apply.log" 2>&1 || { record_failure "teams $from to $last: $(tail -1 "$WORK/log/apply.log")"; return 1; }
    from=$last
  done
}

# metric NAME METRIC: prints the value of a process's metric.
metric() { curl -s -m 2 "http://$(setting "$1" admin)/metrics" | awk -v m="$2" '$1 == m { printf "%.6f", $2 }'; }

# wire NAME: prints the total bytes of its links and control calls, with packet headers.
wire() {
  curl -s -m 2 "http://$(setting "$1" admin)/metrics" | awk -v h="$HEADER_BYTES" '
    /^lilacbridge_(link|control_upstream)_bytes_total/ { sum += $2 }
    /^lilacbridge_(link|control_upstream)_packets_total/ { sum += $2 * h }
    END { printf "%.0f", sum }'
}

# weigh NAME ROLE TEAMS: measures the process and prints a benchmark line.
weigh() {
  local before after rss sent
  sent="$(wire "$1")"
  before="$(metric "$1" process_cpu_seconds_total)"
  sleep "$IDLE_SECONDS"
  after="$(metric "$1" process_cpu_seconds_total)"
  rss="$(metric "$1" process_resident_memory_bytes)"
  sent=$(($(wire "$1") - sent))
  awk -v w="$sent" -v n="BenchmarkWeigh/$2/teams=$3" -v a="$after" -v b="$before" -v s="$IDLE_SECONDS" -v r="$rss" \
    'BEGIN { printf "%s\t1\t%.3f core-%%\t%.1f rss-MB\t%.0f wire-B/s\n", n, 100 * (a - b) / s, r / 1048576, w / s }'
}

prepare "$FLEET"
start_fleet || report_result weigh
done_teams=0
for size in "${SIZES[@]}"; do
  add_teams "$done_teams" "$size" || report_result weigh
  done_teams=$size
  sleep "$SETTLE_SECONDS"
  weigh "${ENTRIES[0]}" entry "$size" &
  leader_name="$(find_leader)"
  weigh "$leader_name" leader "$size" &
  for name in "${STATES[@]}"; do [[ "$name" == "$leader_name" ]] || follower="$name"; done
  weigh "$follower" follower "$size" &
  wait $(jobs -p | tail -3)
done
stop_all
report_result weigh
