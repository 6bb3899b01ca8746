#!/usr/bin/env bash
# Installs the Debian packages that build, tests and demo need. Does nothing when all are installed.
set -euo pipefail
packages=(
  g++ cmake make ninja-build ccache pkg-config git python3 curl
  clang-format clang-tidy
  libboost1.81-dev libboost-json1.81-dev
  libjsonrpccpp-dev libjsonrpccpp-tools libjsoncpp-dev
  prometheus-cpp-dev libgflags-dev libspdlog-dev libfmt-dev catch2
  libgrpc++-dev protobuf-compiler-grpc libprotobuf-dev protobuf-compiler
  libssl-dev libinih-dev librapidcheck-dev libbenchmark-dev
)
missing=()
for package in "${packages[@]}"; do
  dpkg-query -W -f='${Status}' "$package" 2>/dev/null | grep -q 'install ok installed' || missing+=("$package")
done
if [ "${#missing[@]}" -eq 0 ]; then
  exit 0
fi
export DEBIAN_FRONTEND=noninteractive
apt-get update -q
apt-get install -q -y --no-install-recommends "${missing[@]}"
