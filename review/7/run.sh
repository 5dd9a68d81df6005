#!/bin/sh
# Runs this case: 1 if the rule was broken, 0 if it held, 2 if the case couldn't run. With TROUBLE=0 it does the same
# without the disruption.
cd "$(dirname "$0")" || exit 2
ROOT="$(cd ../.. && pwd)"
export ROOT
CASE="../bin/case$(basename "$PWD")"
if [ ! -x "$CASE" ] || [ ! -x "$ROOT/target/release/woodgap" ]; then
    echo "build the node by deploy/balancer.toml, and the case by review/build.sh" >&2
    exit 2
fi
timeout 115 "$CASE" record.txt
code=$?
[ "$code" -le 1 ] || code=2
exit "$code"
