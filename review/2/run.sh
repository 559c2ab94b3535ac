#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run. TROUBLE=0 leaves the disruption out.
set -u
here=$(cd "$(dirname "$0")" && pwd)
case=$(basename "$here")
cd "$here/../.."
[ -x "review/build/case-$case" ] || { echo "run review/build.sh first"; exit 2; }
CASE_FOLDER=$(mktemp -d)
export CASE_FOLDER
trap 'rm -rf "$CASE_FOLDER"' EXIT
timeout 110 "review/build/case-$case" "$here/record.txt"
status=$?
[ "$status" -le 2 ] || status=2
exit "$status"
