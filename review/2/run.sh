#!/usr/bin/env bash
# The store cuts a waiting watch just when a backend's entry is removed. Takes 15 s.
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0: without the disruption.
set -euo pipefail
cd "$(dirname "$0")/../.."
for program in target/release/limpetshunt target/review/standin; do
    if [[ ! -x $program ]]; then
        echo "not built: $program" >&2
        exit 2
    fi
done
exec target/review/standin watch-cut review/2/record.txt
