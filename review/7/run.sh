#!/usr/bin/env bash
# A read-only transaction ends at a replaced primary while replicas fall behind; reads may not be staler than allowed. TROUBLE=0: neither happens.
exec "$(dirname "$0")/../harness-2/run.sh" "$(dirname "$0")"
