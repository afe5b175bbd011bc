#!/usr/bin/env bash
# Case 5: runs the program and the stand-ins; see claim.txt. Exits with 1 if the rule was broken, 0 if it held, 2 if the case
# could not run.
set -u
exec bash "$(dirname "$0")/../case.sh" homes "$(cd "$(dirname "$0")" && pwd)/record.txt" "${TROUBLE:-1}"
