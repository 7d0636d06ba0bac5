#!/usr/bin/env bash
# Fails if two headers define a type of the same name. Nearly all types share a
# namespace, and the linker merges the inline functions of two types of one name
# without a diagnostic.
set -euo pipefail
cd "$(dirname "$0")/.."
duplicates="$(git ls-files 'src/*.h' 'include/*.h' 'platform/*.h' |
  xargs sed -nE 's/^(struct|class|enum class) ([A-Z][A-Za-z0-9]*)$/\2/p' |
  sort | uniq -d)"
if [ -n "$duplicates" ]; then
  printf 'defined in more than one header: %s\n' $duplicates >&2
  exit 1
fi
echo "type names: ok"
