#!/usr/bin/env bash
# Installs the Debian packages that the build, the tests and the demo need.
set -euo pipefail
packages=(
  g++ cmake ninja-build python3 curl clang-format clang-tidy
  libboost1.81-dev libssl-dev libfmt-dev libspdlog-dev libcli11-dev
  libexpected-dev libtomlplusplus-dev libflatbuffers-dev libxxhash-dev
  catch2 libtrompeloeil-cpp-dev libbenchmark-dev
)
missing=()
for package in "${packages[@]}"; do
  dpkg-query -W -f='${Status}' "$package" 2>/dev/null |
    grep -q 'install ok installed' || missing+=("$package")
done
if [ "${#missing[@]}" -gt 0 ]; then
  as_root=()
  [ "$(id -u)" -eq 0 ] || as_root=(sudo)
  "${as_root[@]}" apt-get update -qq
  DEBIAN_FRONTEND=noninteractive "${as_root[@]}" \
    apt-get install -y -qq --no-install-recommends "${missing[@]}"
fi
