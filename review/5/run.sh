#!/bin/sh
# Plays case 5; TROUBLE=0 plays it without the disruption.
# Exit status: 1 the rule was broken, 0 it held, 2 the case could not run.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/review-2/5 ] && [ -x target/coltsfootward ] || exit 2 # not built
TROUBLE=${TROUBLE:-1}
CASE=review/5
export TROUBLE CASE
exec target/review-2/5
