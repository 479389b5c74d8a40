#!/usr/bin/env bash
# Installs the Debian packages that are required by the build and the tests.
set -euo pipefail

readonly kPackages=(
  g++ cmake ninja-build ccache clang-format clang-tidy
  libboost1.81-dev libboost-json1.81-dev libboost-url1.81-dev
  libcapnp-dev capnproto prometheus-cpp-dev libgoogle-glog-dev
  libcriterion-dev librapidcheck-dev libvalijson-dev libxxhash-dev libtomlplusplus-dev
  curl python3
)

missing=()
for package in "${kPackages[@]}"; do
  dpkg-query -W -f='${Status}' "$package" 2>/dev/null | grep -q 'install ok installed' ||
    missing+=("$package")
done
[ ${#missing[@]} -eq 0 ] && exit 0

export DEBIAN_FRONTEND=noninteractive
apt-get update -qq
apt-get install -y -qq --no-install-recommends "${missing[@]}" >/dev/null
