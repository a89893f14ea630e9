#!/usr/bin/env bash
# Measures a group of five state processes by the number of claims per second:
# processor time, network traffic with packet headers, and resident memory of the leader
# and of the followers (mean). The output has the format of "go test -bench", for
# cmd/lilaccapacity.
set -uo pipefail
cd "$(dirname "$0")/.."
source scripts/lib.sh

RATES=(250 500 1000 2000)
VOTERS=5
SETTLE_SECONDS=3
CLAIM_SECONDS=10
MEASURE_SECONDS=6

# make_voters replaces the fleet's state processes by VOTERS ones.
make_voters() {
  local template="$WORK/conf/${STATES[0]}.yaml" ports i j
  sed -n '/^peers:/q;p' "$template" > "$WORK/template"
  rm "$WORK"/conf/state-*.yaml
  mapfile -t ports < <("$BIN/lilacload" ports $((VOTERS * 2)))
  STATES=()
  for ((i = 0; i < VOTERS; i++)); do
    STATES+=("state-$i")
    {
      sed -e "s/^name: .*/name: state-$i/" -e "s/^data_center: .*/data_center: center-$i/" -e "s/^link: .*/link: 127.0.0.1:${ports[i * 2]}/" \
        -e "s/^admin: .*/admin: 127.0.0.1:${ports[i * 2 + 1]}/" -e "s/^data: .*/data: data\/state-$i/" "$WORK/template"
      echo "peers:"
      for ((j = 0; j < VOTERS; j++)); do
        ((j == i)) || echo "  - {name: state-$j, address: \"127.0.0.1:${ports[j * 2]}\", data_center: center-$j}"
      done
    } > "$WORK/conf/state-$i.yaml"
  done
}

# figures FILE: writes "name leads cpu wire rss keys" of each state process; wire
# is in bytes with packet headers.
figures() {
  local name
  for name in "${STATES[@]}"; do
    curl -s -m 5 "http://$(setting "$name" admin)/metrics" | awk -v n="$name" -v h="$HEADER_BYTES" '
      $1 == "lilacbridge_state_leads" { leads = $2 }
      $1 == "process_cpu_seconds_total" { cpu = $2 }
      $1 == "lilacbridge_state_claims" { keys = $2 }
      $1 == "process_resident_memory_bytes" { rss = $2 }
      /^lilacbridge_link_bytes_total/ { wire += $2 }
      /^lilacbridge_link_packets_total/ { wire += $2 * h }
      END { printf "%s %d %.3f %.0f %.0f %d\n", n, leads, cpu, wire, rss, keys }'
  done | sort > "$1"
}

# lines RATE [PREFIX]: prints the cost of each role between the two sets of figures.
lines() {
  join "$WORK/before" "$WORK/after" | awk -v rate="$1" -v p="${2:-}" -v s="$MEASURE_SECONDS" '
    { role = $7 ? "leader" : "follower"; n[role]++; cpu[role] += $8 - $3; wire[role] += $9 - $4; rss[role] += $10; keys = $11; moved += $2 != $7 }
    END {
      if (moved || n["leader"] != 1) exit 1
      for (role in n) {
        printf "BenchmarkClaimed/%s%s/claims=%d\t1\t%.3f core-%%\t%.0f wire-B/s\n", p, role, rate, 100 * cpu[role] / s / n[role], wire[role] / s / n[role]
        printf "BenchmarkHeld/%s/keys=%d\t1\t%.1f rss-MB\n", role, keys, rss[role] / n[role] / 1048576
      } }'
}

# measure RATE [PREFIX]: records the figures before and after MEASURE_SECONDS and prints
# the benchmark lines.
measure() {
  figures "$WORK/before"
  sleep "$MEASURE_SECONDS"
  figures "$WORK/after"
  lines "$@" || record_failure "the leader changed at $1 claims per second"
}

prepare agence
make_voters
for name in "${STATES[@]}"; do start_state "$name"; done
sleep "$SETTLE_SECONDS"
measure 0 idle-
for rate in "${RATES[@]}"; do
  start claims "$BIN/lilacload" claims --state "$(addresses link "${STATES[@]}")" --link-key-file "$WORK/keys/link.key" \
    --rate "$rate" --duration "${CLAIM_SECONDS}s"
  sleep 2
  measure "$rate"
  wait_exit claims 20 && ((STATUS == 0)) || record_failure "$rate claims per second: $(tail -2 "$WORK/log/claims.log")"
done
cat "$WORK/log/claims.log" >&2
stop_all
report_result follow
