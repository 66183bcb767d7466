#!/bin/sh
# CONFIG: after a burst of long bodies, the machines refuse all requests with a body for the rest of their lives.
cd "$(dirname "$0")" || exit 2
exec node run.mjs
