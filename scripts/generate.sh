#!/usr/bin/env bash
# Generates src/generated/ from schema/. With --check, fails when the committed code is out of date.
set -euo pipefail
cd "$(dirname "$0")/.."
out=src/generated
if [ "${1:-}" = --check ]; then
  out=$(mktemp -d)
  trap 'rm -rf "$out"' EXIT
fi
protoc -I schema --cpp_out="$out" schema/link.proto schema/admin.proto schema/settings.proto schema/journal.proto
protoc -I schema --grpc_out="$out" --plugin=protoc-gen-grpc="$(command -v grpc_cpp_plugin)" schema/admin.proto
jsonrpcstub schema/peer.json --cpp-server=chervilpulley::rpc::peer_server_stub --cpp-server-file="$out/peer_server_stub.h" \
  --cpp-client=chervilpulley::rpc::peer_client_stub --cpp-client-file="$out/peer_client_stub.h" >/dev/null
if [ "$out" != src/generated ]; then
  diff -r "$out" src/generated || { echo "generate: src/generated differs from schema/; run scripts/generate.sh" >&2; exit 1; }
fi
