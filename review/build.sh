#!/usr/bin/env bash
# Checks the stand-ins and scripts of the cases. They are plain JavaScript modules
# without dependencies, so that nothing has to be compiled; the gateways are built
# by the deploy file.
set -euo pipefail
cd "$(dirname "$0")"
for module in standins/*.mjs [0-9]*/*.mjs; do
  [ -e "$module" ] || continue
  node --check "$module"
done
