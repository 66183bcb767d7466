#!/bin/sh
# DRAIN: the store cuts off the watches that wait, and a worker's entry is removed moments later.
cd "$(dirname "$0")" || exit 2
exec node run.mjs
