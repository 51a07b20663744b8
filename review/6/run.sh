#!/bin/sh
# Exit status: 1 if the rule was broken, 0 if it held, 2 if the case could not run.
cd "$(dirname "$0")" || exit 2
rm -f record.txt
timeout -k 5 110 node case.mjs
status=$?
[ -s record.txt ] || exit 2
case $status in 0 | 1) exit $status ;; *) exit 2 ;; esac
