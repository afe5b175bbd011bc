#!/usr/bin/env bash
# Case 7 of the second review. Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
# With TROUBLE=0 the disruption is left out.
exec bash "$(dirname "$0")/../case-2.sh" copy-of-gone "$(cd "$(dirname "$0")" && pwd)/record.txt" "${TROUBLE:-1}"
