#!/usr/bin/env bash
# Plays the case. Exits with 1 if the rule was broken, with 0 if it held, and with 2 if the case could not
# run. TROUBLE=0 leaves the disruption out.
here=$(cd "$(dirname "${BASH_SOURCE[0]}")" && pwd) || exit 2
cd "$here/../.." || exit 2
exec target/review2/standin2 burst "$here/record.txt"
