#!/usr/bin/env bash
# Builds the programs of the cases 6 to 10: each with its stand-ins in one program, of the standard library alone.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review-2
for main in review/{6,7,8,9,10}/main.rs; do
  [ -f "$main" ] || continue
  n=$(basename "$(dirname "$main")")
  rustc --edition 2024 -O -A warnings -o "target/review-2/case-$n" "$main"
done
