#!/usr/bin/env bash
# Runs clang-tidy with warnings as errors on all sources or on the given files, LINT_JOBS (default: all processors) at
# once.
set -euo pipefail
cd "$(dirname "$0")/.."
build=${BUILD:-build}
if [ "$#" -gt 0 ]; then
  files=("$@")
else
  mapfile -t files < <(git ls-files --cached --others --exclude-standard 'src/*.cpp' 'platform/*.cpp' 'tests/*.cpp' 'bench/*.cpp' | grep -v '^src/generated/')
fi
printf '%s\0' "${files[@]}" | xargs -0 -P "${LINT_JOBS:-$(nproc)}" -n 1 clang-tidy -p "$build" --quiet --extra-arg=-Wno-unknown-warning-option 2> >(grep -v -e 'warnings generated' -e 'Suppressed' -e 'Use -header-filter' >&2)
