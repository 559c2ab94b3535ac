#!/usr/bin/env bash
# Plays the case; see claim.txt. It needs the build of the deploy file and review/build-3.sh.
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run. TROUBLE=0 leaves the disruption out.
set -uo pipefail
cd "$(dirname "$0")"
timeout 115 ../build-3/daemon-ended-by-header "$(cd ../.. && pwd)" record.txt
code=$?
[ "$code" -le 2 ] || code=2
exit "$code"
