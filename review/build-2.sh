#!/usr/bin/env bash
# Builds what the scripts of review/6 to review/9 start beside the gateway's bundle. Their stand-ins in
# review/standins-2 are plain JavaScript modules without dependencies, so that they only have to parse.
set -euo pipefail
cd "$(dirname "$0")"
for module in standins-2/*.mjs {6,7,8,9}/case.mjs; do
  node --check "$module"
done
