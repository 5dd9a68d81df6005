#!/bin/sh
# Builds the stand-ins of the cases 6 to 10 into target/review-2, with rustc and the standard library alone.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review-2
for program in review/stand-ins-2/*.rs; do
    name=$(basename "$program" .rs)
    [ "$name" = kit ] || rustc --edition 2021 -O -o "target/review-2/$name" "$program"
done
