#!/usr/bin/env bash
# Builds the stand-ins and scripts of the cases 11 to 15 into review/build-3/. It needs a C++20 compiler and
# nlohmann-json, which the deploy file's packages bring.
set -euo pipefail
cd "$(dirname "$0")"
mkdir -p build-3
printf "*\n" > build-3/.gitignore
flags=(-std=c++20 -O1 -Wall -Wextra -pthread)
for source in Fleet Deployment KeptClients; do
    "${CXX:-g++}" "${flags[@]}" -c "standin-3/$source.cpp" -o "build-3/$source.o"
done
build() {
    "${CXX:-g++}" "${flags[@]}" "standin-3/$1.cpp" build-3/Fleet.o build-3/Deployment.o build-3/KeptClients.o -o "build-3/$2"
}
build CutAfterSlowStore cut-after-slow-store
build LeavingForgotten leaving-forgotten
build DaemonEndedByClient daemon-ended-by-client
build DaemonEndedByInstance daemon-ended-by-instance
build DaemonEndedByHeader daemon-ended-by-header
