#!/usr/bin/env bash
# Builds the stand-ins of the review's scripts into target/review/. Needs a compiler and the
# packages that deploy/system.toml names.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review
for source in review/[1-5]/case.cc; do
  [ -e "$source" ] || continue
  number="$(basename "$(dirname "$source")")"
  g++ -std=c++20 -O1 -Wall -Wextra -pthread -o "target/review/case-$number" "$source"
done
