#!/bin/sh
# The stand-ins of the cases 4 to 6 are plain Node.js modules that need no build; checks their syntax.
set -e
cd "$(dirname "$0")"
for file in fleet/*.mjs 4/case.mjs 5/case.mjs 6/case.mjs; do
  [ ! -e "$file" ] || node --check "$file"
done
test -e ../target/lilacledged.cjs || echo 'the programs are not built: npm run bundle' >&2
