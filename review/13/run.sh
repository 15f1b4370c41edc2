#!/usr/bin/env bash
# Plays case 13, see claim.txt. Exits with 1 if the rule was broken, with 0 if it held, and with 2 if the case couldn't
# run. With TROUBLE=0 it does the same without the disruption.
cd "$(dirname "${BASH_SOURCE[0]}")/../.." || exit 2
trouble=true
if [ "${TROUBLE:-1}" = 0 ]; then
	trouble=false
fi
target/review3/standin3 -case 13 -record review/13/record.txt -trouble="$trouble"
status=$?
if [ "$status" -gt 1 ]; then
	status=2
fi
exit "$status"
