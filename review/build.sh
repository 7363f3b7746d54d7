#!/usr/bin/env bash
# Builds the stand-ins that the scripts of the review start. They need nothing but the compiler.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review
rustc --edition 2024 -O -A dead_code -o target/review/standin review/standin/main.rs
