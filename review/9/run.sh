#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0 leaves the disruption out.
cd "$(dirname "$0")" || exit 2
command -v python3 > /dev/null || exit 2
test -x ../../target/release/linkhatch-proxy || exit 2
export PYTHONDONTWRITEBYTECODE=1
exec timeout --preserve-status --signal=TERM --kill-after=3 115 python3 case.py
