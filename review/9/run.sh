#!/usr/bin/env bash
# A customer with a letter beyond Latin-1 in its name is added; targets must be told that name. TROUBLE=0: the name is ASCII.
exec "$(dirname "$0")/../harness-2/run.sh" "$(dirname "$0")"
