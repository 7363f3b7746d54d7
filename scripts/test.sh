#!/usr/bin/env bash
# Builds the workspace and runs every test except the known failures in KNOWN-RED.txt, whose names it prints.
set -euo pipefail
cd "$(dirname "$0")/.."
# With a fixed seed, property tests generate the same cases in each run, so that results are reproducible.
export PROPTEST_RNG_SEED=${PROPTEST_RNG_SEED:-20261204}
cargo build --workspace --locked

# Each entry of KNOWN-RED.txt starts with "test: NAME"; only tests with exactly that name are skipped.
skip_flags=()
if [[ -f KNOWN-RED.txt ]]; then
    while read -r test_name; do
        echo "known red, not run: $test_name"
        skip_flags+=(--skip "$test_name")
    done < <(sed -n 's/^test: //p' KNOWN-RED.txt)
fi
cargo test --workspace --locked --no-fail-fast -- --exact "${skip_flags[@]}"
