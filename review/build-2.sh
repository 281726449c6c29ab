#!/usr/bin/env bash
# Builds the stand-ins that the scripts of this review start; run after the build of the deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
npm run --silent build
