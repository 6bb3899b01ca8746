#!/usr/bin/env bash
# Formats the sources. With --check, only lists the files that are not formatted, and fails when there is one.
set -euo pipefail
cd "$(dirname "$0")/.."
mapfile -t files < <(git ls-files --cached --others --exclude-standard '*.cpp' '*.h' | grep -v '^src/generated/')
[ "${#files[@]}" -gt 0 ] || exit 0
if [ "${1:-}" = --check ]; then
  clang-format --dry-run -Werror "${files[@]}"
else
  clang-format -i "${files[@]}"
fi
