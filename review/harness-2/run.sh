#!/usr/bin/env bash
# Runs the case in the folder given: 1 if the rule was broken, 0 if it held, 2 if the case could not run.
cd "$1" || exit 2
export GUAVAPITCH_PROGRAM="$PWD/../../target/guavapitch-proxy.mjs"
[ -f "$GUAVAPITCH_PROGRAM" ] || exit 2
timeout --kill-after=5 115 node case.mjs
case $? in
	0) exit 0 ;;
	41) exit 1 ;;
	*) exit 2 ;;
esac
