#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run. TROUBLE=0: without
# the disruption.
set -u
here="$(cd "$(dirname "$0")" && pwd)"
root="$(cd "$here/../.." && pwd)"
case="$root/target/review/case-$(basename "$here")"
program="$root/target/plantain-edged"
[ -x "$case" ] && [ -x "$program" ] || { echo "build the deploy file and review/build.sh first"; exit 2; }
folder="$(mktemp -d)"
trap 'rm -rf "$folder"' EXIT
timeout -k 2 118 "$case" "$program" "$folder" "$here/record.txt"
status=$?
[ "$status" -le 1 ] || status=2
exit "$status"
