#!/bin/sh
# Builds the stand-ins and the programs of the second review's scripts into target/review-2.
set -eu
cd "$(dirname "$0")/.."
target=target/review-2
cargo build --locked -p redwingfold-standins --lib --target-dir "$target"
for case in review/[4-8]/case.rs; do
    [ -e "$case" ] || continue
    number=$(basename "$(dirname "$case")")
    rustc --edition 2024 -O -o "$target/case-$number" -L "dependency=$target/debug/deps" \
        --extern "redwingfold_standins=$target/debug/libredwingfold_standins.rlib" "$case"
done
