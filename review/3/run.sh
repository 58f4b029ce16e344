#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
set -u
cd "$(dirname "$0")/../.." || exit 2
[ -x target/shallotcourse ] && [ -x review/bin/stand ] || { echo "build target/shallotcourse and run review/build.sh first"; exit 2; }
TROUBLE="${TROUBLE:-1}" RECORD=review/3/record.txt timeout -k 5 115 review/bin/stand last-tenant
code=$?
[ $code -eq 0 ] || [ $code -eq 1 ] || exit 2
exit $code
