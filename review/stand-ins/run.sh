#!/bin/sh
# Runs the case of a folder: stand-ins/run.sh FOLDER. Exits with 1 if the rule was broken, 0 if it held, 2 if the
# case couldn't run. Ends every process that the case started.
case=$(basename "$1")
cd "$(dirname "$0")/../.." || exit 2
if [ ! -x "review/bin/case$case" ] || [ ! -x target/release/woodgap ]; then
    echo "build first: the build of deploy/balancer.toml, then review/build.sh"
    exit 2
fi
folder=$(mktemp -d) || exit 2
finish() {
    [ -z "${stand_ins:-}" ] || kill -KILL "$stand_ins" 2>/dev/null
    if [ -e "$folder/pids" ]; then
        while read -r pid; do kill -KILL "$pid" 2>/dev/null; done <"$folder/pids"
    fi
    rm -rf "$folder"
}
trap finish EXIT
trap 'exit 2' INT TERM HUP
"review/bin/case$case" "$folder" "review/$case/record.txt" &
stand_ins=$!
wait "$stand_ins"
status=$?
stand_ins=
[ "$status" -le 2 ] || status=2
exit "$status"
