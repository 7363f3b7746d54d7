#!/usr/bin/env bash
# Builds the workspace and runs every test.
set -euo pipefail
cd "$(dirname "$0")/.."
cargo build --workspace --locked
cargo test --workspace --locked --no-fail-fast
