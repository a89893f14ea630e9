#!/usr/bin/env bash
# Counts lines of Go: product code, its distributed decision logic, and tests.
set -euo pipefail
cd "$(dirname "$0")/.."
count() { # pattern... : lines of the tracked files that match, without generated code
  git ls-files -- "$@" | { grep -v '\.pb\.go$' || true; } | tr '\n' '\0' | xargs -0 -r cat | wc -l
}
all=$(count '*.go')
tests=$(count '*_test.go')
product=$((all - tests))
decision_lines=0
for folder in request process/replica process/wal process/ledger process/lease process/orders process/member \
  version/config version/spread connection/gossip connection/stateclient connection/orders connection/replicalink; do
  lines=$(($(count "$folder/*.go") - $(count "$folder/*_test.go")))
  decision_lines=$((decision_lines + lines))
done
echo "product code:       $product lines"
echo "decision logic:     $decision_lines lines, $((100 * decision_lines / product)) % of product code (target: at least 25 %)"
echo "tests:              $tests lines, $((100 * tests / all)) % of all code (target: under 33 %)"
