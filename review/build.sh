#!/usr/bin/env bash
# Builds the stand-ins of each case into target/review/, with the standard library only.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review
for source in review/[0-9]/main.rs; do
    number=$(basename "$(dirname "$source")")
    rustc --edition 2024 -O -o "target/review/case-$number" "$source"
done
