#!/bin/sh
# Bundles the project's stand-ins that the cases of the second review start, into target/review-2.
cd "$(dirname "$0")/.." || exit 1
exec node review/lib-2/build.mjs
