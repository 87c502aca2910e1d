#!/bin/sh
# Exit 1: the rule was broken; 0: it held; 2: the case could not run. TROUBLE=0 leaves out the trouble.
cd "$(dirname "$0")/../.." || exit 2
[ -x build/review-2/case-6 ] || { echo "build it first: sh review/build-2.sh" >&2; exit 2; }
exec build/review-2/case-6 review/6
