#!/bin/sh
# Build the stand-ins that the scripts of cases 4 to 8 start. They use only the standard
# library, so compiling them is all. The project itself is built by deploy/system.toml.
set -eu
cd "$(dirname "$0")"
python3 -m compileall -q standins-2
