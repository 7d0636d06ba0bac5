#!/usr/bin/env bash
# Builds and runs all tests.
set -euo pipefail
cd "$(dirname "$0")/.."
./tools/build.sh "$@"
ctest --test-dir "${BUILD_DIR:-build}" --output-on-failure -j "$(nproc)"
