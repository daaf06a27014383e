#!/usr/bin/env bash
# Builds the stand-ins of the script cases of the second review into build/review-2/. The program under test is built
# by the command of deploy/system.toml.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p build/review-2
for CASE in review/6 review/9 review/10; do
  "${CXX:-c++}" -std=c++20 -O1 -Wall -Wextra -Wno-unused-parameter -o "build/review-2/case-$(basename "$CASE")" "$CASE/case.cc"
done
