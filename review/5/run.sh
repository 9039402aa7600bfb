#!/usr/bin/env bash
# Plays the case. Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0 leaves the disruption out.
folder=$(cd "$(dirname "$0")" && pwd) || exit 2
cd "$folder/../.." || exit 2
case_program=target/review/case-$(basename "$folder")
[ -x "$case_program" ] || { echo "could not run: build with the deploy file and review/build.sh first" >&2; exit 2; }
timeout -k 1 115 "$case_program" "$folder"
status=$?
[ "$status" -le 1 ] && exit "$status"
exit 2
