#!/usr/bin/env bash
# Builds the stand-ins of the cases 11 to 15 into review/lab-3/bin. They need only a C++ compiler
# and nlohmann-json3-dev, which the deploy file names.
set -euo pipefail
cd "$(dirname "$0")/lab-3"
mkdir -p bin
for SOURCE in *.cc; do
  g++ -std=c++20 -O1 -Wall -Wextra -o "bin/${SOURCE%.cc}" "$SOURCE"
done
