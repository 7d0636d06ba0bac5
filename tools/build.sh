#!/usr/bin/env bash
# Sets up and builds into build/; further arguments go to CMake.
set -euo pipefail
cd "$(dirname "$0")/.."
./tools/setup.sh
cmake -S . -B "${BUILD_DIR:-build}" -G Ninja "$@" >/dev/null
cmake --build "${BUILD_DIR:-build}"
