#!/bin/sh
# Builds the programs of the cases 6 and 7 into target/review-2, with rustc and the standard library alone.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review-2
for case in 6 7; do
    rustc --edition 2021 -O -o "target/review-2/case$case" "review/$case/case.rs"
done
