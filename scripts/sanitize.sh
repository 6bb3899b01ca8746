#!/usr/bin/env bash
# Builds and runs tests with the sanitizers, each in its own build folder:
#   address    unit and contract tests, and the fuzz targets
#   undefined  policies, which don't include the HTTP library (compiling it with this sanitizer takes too long)
#   thread     tests of state that is shared between threads
# Usage: scripts/sanitize.sh [address|undefined|thread]...   (default: all three; JOBS sets the number of build jobs)
set -uo pipefail
cd "$(dirname "$0")/.."
source=$PWD
jobs=${JOBS:-4}
export CHERVILPULLEY_SOURCE=$source RC_PARAMS=${RC_PARAMS:-seed=20261204}
export ASAN_OPTIONS=${ASAN_OPTIONS:-detect_leaks=1:strict_string_checks=1}
export UBSAN_OPTIONS=${UBSAN_OPTIONS:-print_stacktrace=1:halt_on_error=1}
export TSAN_OPTIONS=${TSAN_OPTIONS:-halt_on_error=0:second_deadlock_stack=1}
failed=()

# build SANITIZER FOLDER TARGET...
build() {
  local sanitizer=$1 folder=$2
  shift 2
  cmake -S . -B "$folder" -G Ninja -DSANITIZE="$sanitizer" > /dev/null && cmake --build "$folder" -j "$jobs" --target "$@" | tail -n 20
}

# run NAME COMMAND...
run() {
  local name=$1 started=$SECONDS
  shift
  if "$@"; then
    echo "== $name passed ($((SECONDS - started)) s)"
  else
    echo "== $name FAILED ($((SECONDS - started)) s)"
    failed+=("$name")
  fi
}

fuzz_targets() {
  local file
  for file in tests/fuzz/*_target.cpp; do
    file=${file##*/}
    echo "fuzz_${file%_target.cpp}"
  done
}

address() {
  local target
  run "build with address" build address build-asan test_unit test_contract $(fuzz_targets)
  for target in test_unit test_contract; do
    run "$target with address" "build-asan/$target" -r compact
  done
  for target in $(fuzz_targets); do
    run "$target with address" "build-asan/$target" -seed=20261204 -runs=5000
  done
}

undefined() {
  run "build with undefined" build undefined build-ubsan test_pure
  run "test_pure with undefined" build-ubsan/test_pure -r compact
}

thread() {
  run "build with thread" build thread build-tsan test_shared
  run "test_shared with thread" build-tsan/test_shared -r compact
}

for sanitizer in "${@:-all}"; do
  case "$sanitizer" in
    address | undefined | thread) "$sanitizer" ;;
    all) undefined; thread; address ;;
    *) echo "sanitize: \"$sanitizer\" is not one of address, undefined, thread" >&2; exit 2 ;;
  esac
done
if [ "${#failed[@]}" -gt 0 ]; then
  printf 'sanitize: failed: %s\n' "${failed[@]}" >&2
  exit 1
fi
echo "sanitize: all passed in $SECONDS s"
