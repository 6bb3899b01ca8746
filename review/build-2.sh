#!/bin/bash
# Builds the stand-ins of review/6 to review/10 into target/review-2/. The program itself is built by the build line of
# the deploy file.
set -eu
cd "$(dirname "$0")/.."
out=target/review-2
mkdir -p "$out"
g++ -std=c++20 -O1 -Wall -Wextra -c review/standin-2/standin.cpp -o "$out/standin.o"
for case in review/*/case-2.cpp; do
  name=$(basename "$(dirname "$case")")
  g++ -std=c++20 -O1 -Wall -Wextra -Ireview/standin-2 "$case" "$out/standin.o" -o "$out/case-$name" -lboost_json -pthread
done
