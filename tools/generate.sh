#!/usr/bin/env bash
# Regenerates the committed FlatBuffers code. Needs the Debian package
# flatbuffers-compiler.
set -euo pipefail
cd "$(dirname "$0")/.."
flatc --cpp --scoped-enums --cpp-std c++17 -o generated/wire wire/peer.fbs
