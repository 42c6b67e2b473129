#!/usr/bin/env bash
# Runs the case stale-order; see claim.txt. TROUBLE=0 runs it without the disruption.
cd "$(dirname "$0")" || exit 2
[ -x ../bin/zfcase ] && [ -x ../../target/zinniafront ] || exit 2
timeout -k 4 115 ../bin/zfcase stale-order
status=$?
[ "$status" -le 2 ] || status=2
exit "$status"
