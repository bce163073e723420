#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
# TROUBLE=0 plays the same without the disruption.
cd "$(dirname "$0")/../.." || exit 2
[ -f target/forkseam.jar ] && [ -d target/review ] || exit 2
exec java -cp target/review review.Main revoke review/3
