#!/usr/bin/env bash
# One daemon on its embedded store, one stand-in target: a request refused, one served, the status text, a planned stop.
set -euo pipefail
cd "$(dirname "$0")/.."
build=${BUILD_DIR:-build}
log=$(mktemp)
callers=127.0.0.1:7100
admin=127.0.0.1:7102

"$build/coriandergated" 2> "$log" &
daemon=$!
target=
trap 'kill "$daemon" $target 2> /dev/null || true' EXIT
for _ in $(seq 100); do curl -sf "http://$admin/healthz" > /dev/null && break; sleep 0.1; done

echo "== status text before any target is there"
curl -s "http://$callers/status"

"$build/coriandergate-target-stand-in" --service=demo --announce="$admin" > /dev/null &
target=$!
for _ in $(seq 100); do curl -s "http://$callers/status" | grep -q 'demo-open call' && break; sleep 0.1; done

echo "== a request without a key is refused, and was not run"
curl -s -i "http://$callers/hello"
echo "== with its key it is served"
curl -s -i -H 'X-Api-Key: demo-key' -d 'wax cups' "http://$callers/hello"
echo
echo "== status text"
curl -s "http://$callers/status"

kill "$target"
sleep 0.5
echo "== status text after the target said that it leaves"
curl -s "http://$callers/status"

echo "== a planned stop"
kill "$daemon"
wait "$daemon"
tail -n 2 "$log"
