#!/usr/bin/env bash
# Builds the programs of the cases 11 to 15, each with the stand-ins that it starts, into
# target/review-3/. Run it after the build of the deploy file. Needs g++ and RapidJSON, which the
# deploy file lists.
set -euo pipefail
root="$(cd "$(dirname "$0")/.." && pwd)"
mkdir -p "$root/target/review-3"
for source in "$root"/review/1[1-5]/case.cc; do
  number="$(basename "$(dirname "$source")")"
  g++ -std=c++20 -O1 -Wall -Wextra -Wno-missing-field-initializers \
    -o "$root/target/review-3/case-$number" "$source" -lpthread
done
