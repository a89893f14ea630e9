#!/usr/bin/env bash
# Tests the routing policy on real processes in four phases of equal length: a burst of
# three times the capacity at one entry, a slow engine, half of the engines killed, and
# a request that crashes each engine that runs it. MINUTES, FLEET=agence|madryn.
set -uo pipefail
cd "$(dirname "$0")/.."
source scripts/lib.sh

FLEET="${FLEET:-agence}"
SECONDS_EACH=$((${MINUTES:-2} * 60 / 4))
((SECONDS_EACH >= 15)) || SECONDS_EACH=15
SEED="${SEED:-200}"
CRASH_WORD=plomo
# The largest number of engines that one request may crash.
MAX_LOST_ENGINES=2

case "$FLEET" in
  madryn) URGENT=dispatch LOW=voyage-plans MODEL=asistente-lm ;;
  *) URGENT=alerts LOW=summaries MODEL=redaction ;;
esac

# run_phase NAME PLAN FAULT FLAG...: runs the load with a fault and prints its report.
run_phase() {
  local name="$1" plan="$2" inject="$3"
  shift 3
  # A new seed gives new keys; otherwise the ledger would return the previous phase's answers.
  SEED=$((SEED + 1))
  say "-- $name"
  load --plan "$plan" --seed "$SEED" --duration "${SECONDS_EACH}s" "$@" > "$WORK/log/load.log" 2>&1 &
  PID[load]=$!
  "$inject"
  wait_exit load $((SECONDS_EACH + 60)) || STATUS=1
  cat "$WORK/log/load.log"
  ((STATUS == 0)) || record_failure "$name: $(tail -1 "$WORK/log/load.log")"
}

no_fault() { :; }

# plan_with FLOW: writes the fleet's load plan with an additional flow, and prints its
# path.
plan_with() {
  local file="$WORK/conf/load-$RANDOM.yaml"
  { cat "$WORK/conf/load.yaml"; printf '  - {%s}\n' "$1"; } > "$file"
  printf '%s' "$file"
}

engines() { servers_of engine; }

restart_engines() {
  local name address serves
  while read -r name address serves; do
    is_running "$name" || start_engine "$name" "$address" "$serves"
  done < <(engines)
}

dead_engines() {
  local name count=0
  while read -r name _; do is_running "$name" || count=$((count + 1)); done < <(engines)
  printf '%s' "$count"
}

kill_half_of_engines() {
  sleep $((SECONDS_EACH / 3))
  local name n=0
  while read -r name _; do
    n=$((n + 1))
    ((n % 2)) && kill_and_wait "$name"
  done < <(engines)
}

prepare "$FLEET"
start_fleet || report_result soak
ctl apply -f "$WORK/conf/fleet.yaml" > "$WORK/log/apply.log" 2>&1 || { record_failure "the fleet's file was not accepted: $(tail -1 "$WORK/log/apply.log")"; report_result soak; }
sleep 1

# Ten engines of 8 slots generate about 3,000 tokens per second; 60 requests of 150
# tokens per second are three times as many.
BURST="class: $LOW, kind: chat, target: $MODEL, rate: 60, stream_share: 1, entries: [0], own_words: 40, median_tokens: 140, max_tokens: 200"
run_phase "burst of 3x capacity at one entry" "$(plan_with "$BURST")" no_fault --min-attainment "$URGENT=0.9" --forbid "$URGENT=overloaded"

STRAGGLER="$(engines | head -1 | cut -d' ' -f2)"
set_fault "$STRAGGLER" '{"straggle": 10}'
run_phase "one engine ten times slower" "$WORK/conf/load.yaml" no_fault --min-attainment "$URGENT=0.9" --min-whole 0.9
set_fault "$STRAGGLER" '{}'

run_phase "half of the engines killed" "$WORK/conf/load.yaml" kill_half_of_engines --min-whole 0.8
restart_engines
sleep 3

while read -r _ address _; do set_fault "$address" "{\"crash_word\": \"$CRASH_WORD\"}"; done < <(engines)
CRASHING="class: $LOW, kind: chat, target: $MODEL, rate: 2, stream_share: 1, fixed_text: \"$CRASH_WORD median=20\""
run_phase "a request that crashes engines, sent repeatedly" "$(plan_with "$CRASHING")" no_fault --forbid "$URGENT=convicted"
lost_engines="$(dead_engines)"
say "engines lost: $lost_engines"
((lost_engines <= MAX_LOST_ENGINES)) || record_failure "one request crashed $lost_engines engines"
((lost_engines > 0)) || record_failure "no engine was lost: the crashing request never ran"
ctl exec "SHOW CONVICTIONS" || true

stop_all
report_result soak
