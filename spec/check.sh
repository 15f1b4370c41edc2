#!/usr/bin/env bash
# Checks the models with Spin. Every model must hold, and every variant of a
# model without one of its guards must fail, which shows that the properties
# detect the fault. Prints one line per run. Only the seconds differ between two
# invocations.
#
#   spec/check.sh            runs all checks
#   spec/check.sh ledger     runs the checks of one model
set -uo pipefail
cd "$(dirname "${BASH_SOURCE[0]}")"

# Columns: model, expected verdict, search, preprocessor flags. A safety search
# looks for violated assertions and deadlocks. A liveness search looks for fair
# runs that violate the model's ltl property.
runs='
ledger  holds safety   -DTRIES=2
ledger  holds liveness -DTRIES=1
ledger  fails safety   -DTRIES=1 -DBROKEN_READBACK
ledger  fails safety   -DTRIES=1 -DBROKEN_FENCE
ledger  fails safety   -DTRIES=1 -DBROKEN_TAKEOVER
ledger  fails liveness -DTRIES=1 -DBROKEN_DEADLINE
release holds safety
release holds liveness
release holds safety   -DSTALE
release holds liveness -DSTALE
release fails safety   -DBROKEN_HIGHER -DSTALE
release fails safety   -DBROKEN_CAS
release fails safety   -DBROKEN_READBACK
release fails safety   -DBROKEN_ASK -DSTALE
release fails liveness -DBROKEN_MESH
credit  holds safety
credit  holds liveness
credit  holds liveness -DPROMPT
credit  fails safety   -DBROKEN_PAUSE
credit  fails safety   -DBROKEN_HANDOVER
credit  fails safety   -DBROKEN_INCARNATION
credit  fails safety   -DBROKEN_SPENT
credit  fails liveness -DBROKEN_TAKEOVER
order   holds safety
order   holds liveness
order   fails safety   -DBROKEN_FENCE
order   fails safety   -DBROKEN_CAS
order   fails liveness -DBROKEN_REPAIR
order   fails liveness -DBROKEN_RETRY
gang    holds safety
gang    holds liveness
gang    fails liveness -DBROKEN_SWEEP
gang    fails safety   -DBROKEN_CLAIM
gang    fails safety   -DBROKEN_ORDER
gang    fails safety   -DBROKEN_RELEASE
'

# Limits of a search: its depth in steps and its memory in megabytes; and the
# number of concurrent searches.
depth=500000
memory=1500
parallel=3

mkdir -p build

# check_one runs one check and writes its result to build/N/result, where N is the
# number of the check in this invocation.
check_one() {
	local n=$1 model=$2 expected=$3 search=$4
	shift 4
	local dir=build/$n started=$SECONDS
	rm -rf "$dir" && mkdir "$dir"
	local verdict states
	if (cd "$dir" && build "$model" "$search" "$@" && search "$search") >"$dir/log" 2>&1; then
		verdict=$(verdict_of "$dir/out")
	else
		verdict=error
	fi
	states=$(sed -nE 's/^ *([0-9]+) states, stored.*/\1/p' "$dir/out" 2>/dev/null)
	local flags="$*"
	printf '%-5s %-8s %-9s %-32s %9s states %4ss  %s\n' "$verdict" "$model" "$search" "${flags//-D/}" \
		"${states:-0}" "$((SECONDS - started))" "$([ "$verdict" = "$expected" ] && echo ok || echo "WRONG, want $expected")" >"$dir/result"
	rm -f "$dir"/pan* "$dir"/*.trail
}

build() {
	local model=$1 search=$2
	shift 2
	local options=(-O2 -w "-DMEMLIM=$memory" -DNFAIR=4)
	if [ "$search" = safety ]; then options+=(-DSAFETY -DNOCLAIM -DCOLLAPSE); else set -- "$@" -DLIVE; fi
	spin -a "$@" "../../$model.pml" && gcc "${options[@]}" -o pan pan.c
}

search() {
	local options=(-m$depth)
	if [ "$1" = liveness ]; then options+=(-a -f); fi
	./pan "${options[@]}" >out
}

# verdict_of prints holds or fails, or error if the search did not complete.
verdict_of() {
	if grep -qE 'errors: [1-9]' "$1"; then
		echo fails
	elif grep -qE 'max search depth too small|out of memory|Search not completed' "$1"; then
		echo error
	elif grep -q 'errors: 0' "$1"; then
		echo holds
	else
		echo error
	fi
}

n=0
selected=()
while read -r model expected search flags; do
	if [ -z "$model" ] || { [ $# -gt 0 ] && [ "$1" != "$model" ]; }; then continue; fi
	n=$((n + 1))
	selected+=("$n")
	# shellcheck disable=SC2086
	check_one "$n" "$model" "$expected" "$search" $flags &
	while [ "$(jobs -rp | wc -l)" -ge $parallel ]; do wait -n; done
done <<<"$runs"
wait

for n in "${selected[@]}"; do cat "build/$n/result"; done | tee build/report.txt
if [ ${#selected[@]} -eq 0 ]; then
	echo "no model ${1:-}"
	exit 1
fi
if grep -q WRONG build/report.txt; then
	echo 'a model check gave the wrong verdict; logs are in spec/build/N/'
	exit 1
fi
