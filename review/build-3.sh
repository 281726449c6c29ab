#!/bin/sh
# Builds the stand-ins of the platform that the scripts of the cases 12 to 15 start; run after the build of deploy/system.toml.
cd "$(dirname "$0")/.." || exit 1
exec npx --no-install tsc -b platform
