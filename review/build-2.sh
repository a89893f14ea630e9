#!/usr/bin/env bash
# Builds what the scripts of the second review start besides the programs of deploy/system.toml.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target
go build -o target/lilacbridge-review-2 ./review/harness-2
