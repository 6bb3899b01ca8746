#!/usr/bin/env bash
# Makes a release build and benchmarks the policies: a table that compares them with baselines, then the cost of single
# calls.
# Results go to build-bench/results as JSON. Options are passed on, for instance --seeds=3 or --only=route.
set -euo pipefail
cd "$(dirname "$0")/.."
log=$(mktemp)
trap 'rm -f "$log"' EXIT
cmake -S . -B build-bench -G Ninja -DCMAKE_BUILD_TYPE=Release > "$log" 2>&1 || { cat "$log" >&2; exit 1; }
cmake --build build-bench -j 3 --target bench_decisions > "$log" 2>&1 || { cat "$log" >&2; exit 1; }
build-bench/bench_decisions --results=build-bench/results "$@"
