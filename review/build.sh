#!/bin/sh
# Builds the stand-ins of the cases, from the standard library alone.
set -e
cd "$(dirname "$0")/.."
mkdir -p target/review
for case in 1 2 3; do
    if [ -f "review/$case/case.rs" ]; then
        rustc --edition 2024 -O -o "target/review/case-$case" "review/$case/case.rs"
    fi
done
