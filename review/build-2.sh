#!/usr/bin/env bash
# Prepares the cases review/4 to review/6. They start no stand-in of the project. Their own stand-ins
# (review/standins-2) are plain modules of Node.js without dependencies, so nothing is compiled: this checks their
# syntax, and that the build of the deploy file has left the program that its run command names.
set -euo pipefail
cd "$(dirname "$0")/.."
node --check review/standins-2/lib.mjs
for file in review/[456]/case.mjs; do node --check "$file"; done
test -f target/main.cjs || { echo "target/main.cjs is missing: run the build of deploy/service.toml first" >&2; exit 1; }
