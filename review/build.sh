#!/usr/bin/env bash
# Builds the stand-ins of the cases. They are plain modules of Node, so this only checks that they can be read.
set -euo pipefail
cd "$(dirname "$0")"
for module in harness/*.mjs ./*/case.mjs; do
	node --check "$module"
done
