#!/usr/bin/env bash
# Runs a fleet of many entries, which form trees. Measures the cost of control for each
# idle entry and the time until a change is in force everywhere, and checks that the
# entries choose a new relay when one is killed. ENTRIES_WANTED=n; an entry needs about
# 40 MB.
set -uo pipefail
cd "$(dirname "$0")/.."
source scripts/lib.sh

ENTRIES_WANTED="${ENTRIES_WANTED:-45}"
SETTLE_SECONDS="${SETTLE_SECONDS:-40}"
IDLE_SECONDS=20
CENTERS=(dakar-a thies-a saint-louis-a)
# Ports per entry: callers, operators, link, admin.
PORTS_EACH=4

# make_entries replaces the fleet's entries by ENTRIES_WANTED entries, which discover
# each other only by the platform's list.
make_entries() {
  local template="$WORK/conf/${ENTRIES[0]}.yaml" ports i center name
  cp "$template" "$WORK/template"
  rm "$WORK"/conf/entry-*.yaml
  mapfile -t ports < <("$BIN/lilacload" ports $((ENTRIES_WANTED * PORTS_EACH)))
  ENTRIES=()
  local list=()
  for ((i = 0; i < ENTRIES_WANTED; i++)); do
    center="${CENTERS[$((i % ${#CENTERS[@]}))]}"
    name="entry-$center-$i"
    ENTRIES+=("$name")
    local p=("${ports[@]:$((i * PORTS_EACH)):$PORTS_EACH}")
    sed -e "/^entries:/,\$d" -e "s/^name: .*/name: $name/" -e "s/^data_center: .*/data_center: $center/" \
      -e "s/^callers: .*/callers: 127.0.0.1:${p[0]}/" -e "s/^operators: .*/operators: 127.0.0.1:${p[1]}/" \
      -e "s/^link: .*/link: 127.0.0.1:${p[2]}/" -e "s/^admin: .*/admin: 127.0.0.1:${p[3]}/" "$WORK/template" > "$WORK/conf/$name.yaml"
    list+=("{\"name\": \"$name\", \"address\": \"127.0.0.1:${p[2]}\", \"data_center\": \"$center\", \"role\": \"entry\", \"state\": \"live\"}")
  done
  (IFS=,; printf '{"instances": [%s]}\n' "${list[*]}") > "$WORK/conf/instances.json"
}

# figures FILE: writes "name link polls cpu rss live" of each entry; bytes include
# packet headers.
figures() {
  local name
  for name in "${ENTRIES[@]}"; do
    is_running "$name" || continue
    curl -s -m 5 "http://$(setting "$name" admin)/metrics" | awk -v n="$name" -v h="$HEADER_BYTES" '
      /^lilacbridge_link_bytes_total/ { link += $2 }
      /^lilacbridge_link_packets_total/ { link += $2 * h }
      /^lilacbridge_control_upstream_bytes_total/ { polls += $2 }
      /^lilacbridge_control_upstream_packets_total/ { polls += $2 * h }
      $1 == "process_cpu_seconds_total" { cpu = $2 }
      $1 == "process_resident_memory_bytes" { rss = $2 }
      $1 == "lilacbridge_entries_live" { live = $2 }
      END { printf "%s %.0f %.0f %.3f %.0f %d\n", n, link, polls, cpu, rss, live }'
  done > "$1"
}

# print_costs BEFORE AFTER: prints the mean and the maximum of each figure per second.
print_costs() {
  join <(sort "$1") <(sort "$2") | awk -v s="$IDLE_SECONDS" '
    function add(k, v) { if (v > max[k]) max[k] = v; sum[k] += v }
    { add("links", ($7 - $2) / s / 1000); add("polls", ($8 - $3) / s / 1000)
      add("control", ($7 - $2 + $8 - $3) / s / 1000); add("core", ($9 - $4) / s * 100); add("memory", $10 / 1048576) }
    END {
      printf "%-28s %8s %8s\n", "an idle entry", "mean", "max"
      printf "%-28s %8.1f %8.1f  KB/s, with packet headers\n", "links", sum["links"] / NR, max["links"]
      printf "%-28s %8.1f %8.1f  KB/s\n", "polls", sum["polls"] / NR, max["polls"]
      printf "%-28s %8.1f %8.1f  KB/s\n", "links and polls", sum["control"] / NR, max["control"]
      printf "%-28s %8.2f %8.2f  %% of a core\n", "processor time", sum["core"] / NR, max["core"]
      printf "%-28s %8.1f %8.1f  MB resident\n", "memory", sum["memory"] / NR, max["memory"] }'
}

# count_outdated NUMBER: prints the number of live entries without this revision.
count_outdated() {
  local name count=0
  for name in "${ENTRIES[@]}"; do
    is_running "$name" || continue
    [[ "$(curl -s -m 5 "http://$(setting "$name" admin)/metrics" | awk '$1 == "lilacbridge_revision" { print $2 }')" -ge "$1" ]] || count=$((count + 1))
  done
  echo "$count"
}

# in_force REVISION NAME: waits until all entries have the revision, and prints the time
# that it took.
in_force() {
  local started outdated tries=60
  started="$(date +%s%N)"
  outdated="$(count_outdated "$1")"
  while ((outdated > 0 && tries-- > 0)); do
    sleep 0.2
    outdated="$(count_outdated "$1")"
  done
  ((outdated == 0)) || record_failure "$2: revision $1 is not in force at $outdated entries"
  say "$2: in force at all entries after $((($(date +%s%N) - started) / 1000000)) ms, by polling"
}

change() { ctl_entry "$1" exec "SET CLASS alerts FIRST TOKEN $2ms" | sed -n 's/^accepted as revision \([0-9]*\).*/\1/p'; }

prepare agence
make_entries
start_fleet || report_result wide
ctl apply -f "$WORK/conf/fleet.yaml" > /dev/null || record_failure "the fleet's file was not accepted"
say "$ENTRIES_WANTED entries in ${#CENTERS[@]} data centres"
sleep "$SETTLE_SECONDS"
figures "$WORK/before"
sleep "$IDLE_SECONDS"
figures "$WORK/after"
print_costs "$WORK/before" "$WORK/after"
known="$(awk '{ print $6 }' "$WORK/after" | sort -n | head -1)"
((known == ENTRIES_WANTED - 1)) || record_failure "an entry knows $known others instead of $((ENTRIES_WANTED - 1))"
in_force "$(change "${ENTRIES[0]}" 411)" "a change"
# The busiest is a relay.
relay="$(join <(sort "$WORK/before") <(sort "$WORK/after") | awk '{ print $7 - $2, $1 }' | sort -rn | awk 'NR == 1 { print $2 }')"
say "killing $relay"
kill_and_wait "$relay"
other="${ENTRIES[0]}"
[[ "$other" == "$relay" ]] && other="${ENTRIES[1]}"
in_force "$(change "$other" 412)" "a change directly after its end"
stop_all
report_result wide
