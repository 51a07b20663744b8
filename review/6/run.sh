#!/bin/sh
# Exit status: 1 if the rule was broken, 0 if it held, 2 if the case could not run.
cd "$(dirname "$0")" || exit 2
exec timeout -k 5 110 node case.mjs
