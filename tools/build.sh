#!/usr/bin/env bash
# Installs the dependencies and builds into BUILD_DIR (default: build).
# Arguments are passed to CMake.
set -euo pipefail
cd "$(dirname "$0")/.."
./tools/setup.sh
cmake -S . -B "${BUILD_DIR:-build}" -G Ninja "$@" >/dev/null
cmake --build "${BUILD_DIR:-build}"
