#!/usr/bin/env bash
# Builds the stand-ins of the cases. They are plain JavaScript modules on Node's own libraries, written for this review,
# so there is nothing to compile: this checks that Node can parse each of them. Needs no network.
set -eu
cd "$(dirname "$0")"
for file in lib/*.mjs [0-9]*/*.mjs tried/*.mjs tried/*/*.mjs; do
  [ -e "$file" ] || continue
  node --check "$file"
done
