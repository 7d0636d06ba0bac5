#!/usr/bin/env bash
# Checks the formatting of all sources and runs clang-tidy on them.
# Usage: lint.sh [BUILD_DIR], a build folder with compile_commands.json.
set -euo pipefail
cd "$(dirname "$0")/.."
build="${1:-${BUILD_DIR:-build}}"
mapfile -t files < <(git ls-files '*.cpp' '*.h' | grep -v '^generated/')
clang-format --dry-run --Werror "${files[@]}"
mapfile -t sources < <(git ls-files '*.cpp' | grep -v BoostSources)
# clang-tidy 14 does not define the feature-test macro for coroutines that the
# standard library and Boost.Asio check.
printf '%s\0' "${sources[@]}" |
  xargs -0 -n 2 -P "$(nproc)" clang-tidy --quiet -p "$build" \
    --extra-arg=-Wno-unknown-warning-option \
    --extra-arg=-D__cpp_impl_coroutine=201902L \
    --extra-arg=-DBOOST_ASIO_HAS_CO_AWAIT \
    --extra-arg=-DBOOST_ASIO_HAS_STD_COROUTINE 2> >(grep -v 'warnings generated' >&2)
echo "lint: ok"
