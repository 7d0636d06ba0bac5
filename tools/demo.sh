#!/usr/bin/env bash
# Builds, starts a small version of Brennock's deployment with stand-ins and
# sends requests through it. With --keep it runs until interrupted.
set -euo pipefail
cd "$(dirname "$0")/.."
./tools/build.sh
exec python3 tests/wholepath/demo.py --build "${BUILD_DIR:-build}" "$@"
