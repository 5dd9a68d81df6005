#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held, and 2 if the case could not run. TROUBLE=0: without the
# disruption. SEED: another draw of the traffic.
cd "$(dirname "$0")" || exit 2
ROOT=$(cd ../.. && pwd)
RECORD=$PWD/record.txt
export ROOT RECORD
for program in "$ROOT/target/release/woodgap" "$ROOT/target/review-2/case7"; do
    [ -x "$program" ] || { echo "could not run: $program is not built"; exit 2; }
done
exec "$ROOT/target/review-2/case7"
