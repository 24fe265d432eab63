#!/usr/bin/env bash
# Plays the case. Exit code: 1 the rule was broken, 0 it held, 2 the case could not run. TROUBLE=0 leaves the disruption out.
cd "$(dirname "$0")" || exit 2
[ -x ../bin/refusedlines ] || { echo "review/build.sh has not been run" >&2; exit 2; }
exec ../bin/refusedlines .
