#!/bin/sh
# LOST: machines are stopped in turn while callers reuse the connections on which their streams have just ended.
cd "$(dirname "$0")" || exit 2
exec node run.mjs
