#!/bin/sh
# Builds what the scripts of the review start besides the program of the deploy file: the project's own stand-ins.
set -e
cd "$(dirname "$0")/.."
node review/lib/buildStandins.mjs
