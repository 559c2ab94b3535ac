#!/usr/bin/env bash
# Builds the stand-ins and the programs of the cases into review/build/.
set -euo pipefail
cd "$(dirname "$0")"
mkdir -p build
flags=(-std=c++20 -O2 -Wall -Wextra -pthread)
for source in standin/*.cpp; do
    g++ "${flags[@]}" -c "$source" -o "build/$(basename "$source" .cpp).o" &
done
wait
for source in [0-9]*/Case.cpp; do
    g++ "${flags[@]}" "$source" build/*.o -o "build/case-$(dirname "$source")" &
done
wait
for source in [0-9]*/Case.cpp; do
    [ -x "build/case-$(dirname "$source")" ]
done
