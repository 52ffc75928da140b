#!/usr/bin/env bash
# Exits 1 if the rule was broken, 0 if it held, 2 if the case couldn't run. TROUBLE=0: without the
# disruption. Needs the build of the deploy file and review/build-2.sh.
folder="$(cd "$(dirname "$0")" && pwd)" || exit 2
cd "$folder/../.." || exit 2
program="target/review-2/case-$(basename "$folder")"
[ -x "$program" ] && [ -x target/plantain-edged ] || exit 2
TMPDIR="$(mktemp -d)" || exit 2
export TMPDIR
export TROUBLE="${TROUBLE:-1}"
trap 'rm -rf "$TMPDIR"' EXIT
timeout -k 2 116 "$program" "$folder/record.txt" >/dev/null
status=$?
if [ "$status" -gt 2 ]; then
  echo "the program ended with status $status" >>"$folder/record.txt"
  status=2
fi
exit "$status"
