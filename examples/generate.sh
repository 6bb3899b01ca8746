#!/usr/bin/env bash
# Generates examples/generated/ from schema/admin.proto. With --check, fails when the committed code differs.
set -euo pipefail
cd "$(dirname "$0")/.."
out=examples/generated
if [ "${1:-}" = --check ]; then
  out=$(mktemp -d)
  trap 'rm -rf "$out"' EXIT
fi
protoc -I schema --python_out="$out" --grpc_out="$out" \
  --plugin=protoc-gen-grpc="$(command -v grpc_python_plugin)" schema/admin.proto
if [ "$out" != examples/generated ]; then
  diff -r -x __pycache__ "$out" examples/generated || { echo "generate: examples/generated differs from schema/" >&2; exit 1; }
fi
