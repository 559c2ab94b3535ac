#!/usr/bin/env bash
# Builds the stand-ins and scripts of the cases 6 to 10 into review/build-2/. It needs a C++20 compiler and
# nlohmann-json, which the deploy file's packages bring.
set -euo pipefail
cd "$(dirname "$0")"
mkdir -p build-2
printf "*\n" > build-2/.gitignore
flags=(-std=c++20 -O1 -Wall -Wextra -pthread -Istandin-2)
"${CXX:-g++}" "${flags[@]}" -c standin-2/Fleet.cpp -o build-2/Fleet.o
"${CXX:-g++}" "${flags[@]}" standin-2/DrainAfterClockJump.cpp build-2/Fleet.o -o build-2/drain-after-clock-jump
"${CXX:-g++}" "${flags[@]}" standin-2/OldRouteAfterOutage.cpp build-2/Fleet.o -o build-2/old-route-after-outage
"${CXX:-g++}" "${flags[@]}" standin-2/LostAfterSecondStop.cpp build-2/Fleet.o -o build-2/lost-after-second-stop
