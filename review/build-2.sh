#!/bin/sh
# Builds the programs of the cases of the second review, which hold their stand-ins, into target/review-2.
# They use the standard library alone: no network, no dependency.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review-2
for source in review/standins-2/*.rs; do
    name=$(basename "$source" .rs)
    [ "$name" = common ] && continue
    rustc --edition 2024 -O -o "target/review-2/$name" "$source"
done
