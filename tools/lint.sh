#!/usr/bin/env bash
# Checks formatting and runs the linter over sources of the project.
# Needs a build folder with compile_commands.json: lint.sh [BUILD_DIR]
set -euo pipefail
cd "$(dirname "$0")/.."
build="${1:-${BUILD_DIR:-build}}"
mapfile -t files < <(git ls-files '*.cpp' '*.h' | grep -v '^generated/')
clang-format --dry-run --Werror "${files[@]}"
mapfile -t sources < <(git ls-files '*.cpp' | grep -v BoostSources)
# Version 14 does not announce coroutines to the standard library by itself.
printf '%s\0' "${sources[@]}" |
  xargs -0 -n 2 -P "$(nproc)" clang-tidy --quiet -p "$build" \
    --extra-arg=-Wno-unknown-warning-option \
    --extra-arg=-D__cpp_impl_coroutine=201902L \
    --extra-arg=-DBOOST_ASIO_HAS_CO_AWAIT \
    --extra-arg=-DBOOST_ASIO_HAS_STD_COROUTINE 2> >(grep -v 'warnings generated' >&2)
echo "lint: ok"
