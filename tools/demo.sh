#!/usr/bin/env bash
# Builds, starts Brennock's deployment in small with stand-ins, and serves
# requests through it. With --keep it stays up until interrupted.
set -euo pipefail
cd "$(dirname "$0")/.."
./tools/build.sh
exec python3 tests/wholepath/demo.py --build "${BUILD_DIR:-build}" "$@"
