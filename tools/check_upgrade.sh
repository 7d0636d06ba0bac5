#!/usr/bin/env bash
# Checks what nodes of the version in production and of this one have to agree on
# while VMs are upgraded one by one, as far as it shows in files.
set -euo pipefail
cd "$(dirname "$0")/.."

production="$(sed -n 's/^production = "\([0-9a-f]*\)"$/\1/p' deploy/system.toml)"
if ! git cat-file -e "$production^{commit}" 2>/dev/null; then
  if [ "$(git rev-parse --is-shallow-repository)" = true ]; then
    echo "upgrade: the history lacks the version in production, not checked"
    exit 0
  fi
  echo "upgrade: production = \"$production\" names no commit" >&2
  exit 1
fi
if ! git merge-base --is-ancestor "$production" HEAD; then
  echo "upgrade: production is no ancestor of this version" >&2
  exit 1
fi

keys() {
  sed -nE 's/^(\[[a-z_.]+\]|[a-z_]+ =).*/\1/p' | sort
}
added="$(comm -13 <(git show "$production:deploy/settings.toml.in" | keys) \
  <(keys <deploy/settings.toml.in))"
if [ -n "$added" ]; then
  echo "upgrade: the version in production does not start with these settings:" >&2
  echo "$added" >&2
  exit 1
fi

# Nodes read each other's messages, so fields may only be added.
removed="$(git diff "$production" -- wire | grep -E '^-[^-]' || true)"
if [ -n "$removed" ]; then
  echo "upgrade: the messages between nodes have lost:" >&2
  echo "$removed" >&2
  exit 1
fi
echo "upgrade from $production: settings and messages agree"
