#!/bin/sh
# Build the stand-ins that the scripts start: they need the standard library only.
cd "$(dirname "$0")" || exit 1
exec python3 -m compileall -q standins 1 2 3
