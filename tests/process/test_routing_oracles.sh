#!/bin/sh
# Breaks one rule at a time in each fuzz target and requires that its oracle
# reports it: an oracle that cannot fail proves nothing.
# usage: test_routing_oracles.sh BUILD-DIR
set -eu
build=$1
[ -x "$build/tests/fuzz_route" ] || {
	echo "no fuzz targets in this build: skipped"
	exit 0
}
scratch=$(mktemp -d)
trap 'rm -rf "$scratch"' EXIT
undetected=0
while read -r target rule; do
	if FUZZ_BREAK=$rule "$build/tests/$target" -seed=1 -runs=1000000 \
	    -max_len=512 -verbosity=0 -artifact_prefix="$scratch/" \
	    >"$scratch/log" 2>&1 || ! grep -qa '^oracle:' "$scratch/log"; then
		echo "not detected: $target $rule"
		undetected=$((undetected + 1))
	fi
done <<END
fuzz_route slots
fuzz_route spill
fuzz_route share
fuzz_route leaving
fuzz_route ejection
fuzz_attempt idempotent
fuzz_attempt deadline
fuzz_attempt budget
fuzz_attempt shed
fuzz_attempt crossed
fuzz_attempt late
fuzz_poison apart
fuzz_poison death
fuzz_poison news
fuzz_once absent
fuzz_once token
fuzz_once release
fuzz_fair_queue charge
fuzz_fair_queue cancel
fuzz_block_map half
END
echo "$undetected broken rules not detected"
[ "$undetected" -eq 0 ]
