#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
# TROUBLE=0 leaves out the disruption. Writes review/15/record.txt.
cd "$(dirname "$0")/../.." || exit 2
[ -x build/review-3/case-15 ] || exit 2
TROUBLE="${TROUBLE:-1}" exec build/review-3/case-15 review/15/record.txt
