#!/usr/bin/env bash
# Exit status: 1 if the rule was broken, 0 if it held, 2 if the case could not run.
cd "$(dirname "$0")/../.." || exit 2
[ -e target/pistachiohatch-gateway.mjs ] || exit 2
exec node review/5/run.mjs
