#!/usr/bin/env bash
# Processes start while a quarter of the writes to the store is executed late and not answered; they must serve again. TROUBLE=0: all are answered.
exec "$(dirname "$0")/../harness-2/run.sh" "$(dirname "$0")"
