#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, and 2 if the case could not run.
# Writes record.txt beside it. With TROUBLE=0 it does the same without the disruption.
cd "$(dirname "$0")" || exit 2
export TROUBLE="${TROUBLE:-1}"
node case.mjs
status=$?
[ -s record.txt ] || exit 2
exit "$status"
