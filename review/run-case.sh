#!/usr/bin/env bash
# Runs one case: its number is the first argument. Each run has a temporary folder of its own.
set -uo pipefail
cd "$(dirname "$0")/.."
case_program="target/review/case-$1"
if [ ! -x "$case_program" ] || [ ! -x target/chervilpulley ]; then
  echo "could not run: build the system and review/build.sh first"
  exit 2
fi
folder=$(mktemp -d) || exit 2
trap 'rm -rf "$folder"' EXIT
timeout -k 5 115 "$case_program" "review/$1" "$folder"
status=$?
[ "$status" -le 2 ] && exit "$status"
exit 2
