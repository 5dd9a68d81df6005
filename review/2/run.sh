#!/bin/sh
# Runs this case; with TROUBLE=0 it does the same without the disruption. Exits with 1 if the rule was broken, 0 if it
# held, 2 if the case couldn't run.
TROUBLE="${TROUBLE:-1}"
export TROUBLE
exec "$(dirname "$0")/../stand-ins/run.sh" "$(cd "$(dirname "$0")" && pwd)"
