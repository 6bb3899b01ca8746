#!/usr/bin/env bash
# Builds the stand-ins and the cases of the review into target/review. Needs only packages of deploy/system.toml.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review
for source in review/*/case.cpp; do
  name=$(basename "$(dirname "$source")")
  if [ ! -x "target/review/case-$name" ] || [ -n "$(find review -name '*.cpp' -newer "target/review/case-$name" -o -name '*.h' -newer "target/review/case-$name")" ]; then
    g++ -std=c++20 -O1 -o "target/review/case-$name" "$source" -pthread -lboost_json
  fi
done
