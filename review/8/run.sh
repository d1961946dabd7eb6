#!/usr/bin/env bash
# Plays the case and writes record.txt in this folder. Exit status: 1 the rule was broken, 0 it held, 2 the case could not
# run. TROUBLE=0 leaves the disruption out. Needs the build of the deploy file and review/build-2.sh.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/cherrywall ] && [ -x target/review-2/case8 ] || exit 2
TROUBLE="${TROUBLE:-1}" exec target/review-2/case8 review/8
