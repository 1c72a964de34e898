#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run.
# TROUBLE=0 does the same without the disruption.
folder=$(cd "$(dirname "$0")" && pwd) || exit 2
number=$(basename "$folder")
cd "$folder/../.." || exit 2
[ -x "target/review/case-$number" ] || exit 2
timeout -k 5 110 "target/review/case-$number" "review/$number/record.txt"
status=$?
[ "$status" -le 1 ] && exit "$status"
exit 2
