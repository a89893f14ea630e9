#!/usr/bin/env bash
# Counts lines of Go: product, the part that nodes decide together, tests.
set -euo pipefail
cd "$(dirname "$0")/.."
count() { # pattern... : lines of the tracked files that match, without generated code
  git ls-files -- "$@" | { grep -v '\.pb\.go$' || true; } | tr '\n' '\0' | xargs -0 -r cat | wc -l
}
all=$(count '*.go')
tests=$(count '*_test.go')
product=$((all - tests))
together=0
for folder in request process/replica process/wal process/ledger process/lease process/orders process/member \
  version/config version/spread connection/gossip connection/stateclient connection/orders connection/replicalink; do
  lines=$(($(count "$folder/*.go") - $(count "$folder/*_test.go")))
  together=$((together + lines))
done
echo "product code:       $product lines"
echo "decided together:   $together lines, $((100 * together / product)) in 100 of product code (a quarter or more is wanted)"
echo "tests:              $tests lines, $((100 * tests / all)) in 100 of all (under a third is wanted)"
