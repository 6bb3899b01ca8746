#!/usr/bin/env bash
# Builds the release and measures the decisions: one table of comparisons, then the cost of single decisions.
# Results go to build-bench/results as JSON. Options are passed on, for instance --seeds=3 or --only=route.
set -euo pipefail
cd "$(dirname "$0")/.."
cmake -S . -B build-bench -G Ninja -DCMAKE_BUILD_TYPE=Release > /dev/null
cmake --build build-bench -j 3 --target bench_decisions > /dev/null
build-bench/bench_decisions --results=build-bench/results "$@"
