#!/usr/bin/env bash
# Runs the policy on real processes, a quarter of the time each: a burst of three
# times the capacity at one entry only, a straggler, half of the engines killed,
# and a request that crashes each engine that runs it. MINUTES, FLEET=agence|madryn.
set -uo pipefail
cd "$(dirname "$0")/.."
source scripts/lib.sh

FLEET="${FLEET:-agence}"
SECONDS_EACH=$((${MINUTES:-2} * 60 / 4))
((SECONDS_EACH >= 15)) || SECONDS_EACH=15
SEED="${SEED:-200}"
CRASH_WORD=plomo
# The most engines that one request may take down.
LOST_ENGINES=2

case "$FLEET" in
  madryn) URGENT=dispatch LOW=voyage-plans MODEL=asistente-lm ;;
  *) URGENT=alerts LOW=summaries MODEL=redaction ;;
esac

# phase NAME PLAN FAULT FLAG...: one load run with a fault in it, and its table.
phase() {
  local name="$1" plan="$2" act="$3"
  shift 3
  # Each phase has keys of its own, or the ledger would answer from the one before.
  SEED=$((SEED + 1))
  say "-- $name"
  load --plan "$plan" --seed "$SEED" --duration "${SECONDS_EACH}s" "$@" > "$WORK/log/load.log" 2>&1 &
  PID[load]=$!
  "$act"
  wait_end load $((SECONDS_EACH + 60)) || STATUS=1
  cat "$WORK/log/load.log"
  ((STATUS == 0)) || broken "$name: $(tail -1 "$WORK/log/load.log")"
}

no_fault() { :; }

# plan_with FLOW: the fleet's plan and one more flow.
plan_with() {
  local file="$WORK/conf/load-$RANDOM.yaml"
  { cat "$WORK/conf/load.yaml"; printf '  - {%s}\n' "$1"; } > "$file"
  printf '%s' "$file"
}

engines() { servers_of engine; }

restart_engines() {
  local name address serves
  while read -r name address serves; do
    alive "$name" || start_engine "$name" "$address" "$serves"
  done < <(engines)
}

dead_engines() {
  local name count=0
  while read -r name _; do alive "$name" || count=$((count + 1)); done < <(engines)
  printf '%s' "$count"
}

kill_half() {
  sleep $((SECONDS_EACH / 3))
  local name n=0
  while read -r name _; do
    n=$((n + 1))
    ((n % 2)) && kill_hard "$name"
  done < <(engines)
}

prepare "$FLEET"
start_fleet || verdict soak
ctl apply -f "$WORK/conf/fleet.yaml" > "$WORK/log/apply.log" 2>&1 || { broken "the fleet's file was not accepted: $(tail -1 "$WORK/log/apply.log")"; verdict soak; }
sleep 1

# Ten engines of 8 slots make about 3,000 tokens a second; 60 requests of 150
# tokens a second are three times that.
BURST="class: $LOW, kind: chat, target: $MODEL, rate: 60, stream_share: 1, entries: [0], own_words: 40, median_tokens: 140, max_tokens: 200"
phase "burst of 3x capacity at one entry" "$(plan_with "$BURST")" no_fault --min-attainment "$URGENT=0.9" --forbid "$URGENT=overloaded"

STRAGGLER="$(engines | head -1 | cut -d' ' -f2)"
fault "$STRAGGLER" '{"straggle": 10}'
phase "one engine ten times slower" "$WORK/conf/load.yaml" no_fault --min-attainment "$URGENT=0.9" --min-whole 0.9
fault "$STRAGGLER" '{}'

phase "half of the engines killed" "$WORK/conf/load.yaml" kill_half --min-whole 0.8
restart_engines
sleep 3

while read -r _ address _; do fault "$address" "{\"crash_word\": \"$CRASH_WORD\"}"; done < <(engines)
POISON="class: $LOW, kind: chat, target: $MODEL, rate: 2, stream_share: 1, fixed_text: \"$CRASH_WORD median=20\""
phase "a request that crashes engines, sent again and again" "$(plan_with "$POISON")" no_fault --forbid "$URGENT=convicted"
LOST="$(dead_engines)"
say "engines lost to it: $LOST"
((LOST <= LOST_ENGINES)) || broken "one request took $LOST engines down"
((LOST > 0)) || broken "no engine was lost: the crashing request never ran"
ctl exec "SHOW CONVICTIONS" || true

stop_all
verdict soak
