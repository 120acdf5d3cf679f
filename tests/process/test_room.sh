#!/bin/sh
# A request that is refused for lack of capacity is refused with that reason. A
# region whose backend servers are full spills into the other region within the
# spill cap, and the callers of the other region are all still answered.
# usage: test_room.sh BUILD-DIR
set -eu
base=22800
# shellcheck source=tests/process/fixture.sh
. "$(dirname "$0")/fixture.sh"
hold_ms=200
slots=8
spill=4 # spill_cap of examples/demo.ini, 0.5, of these slots

backends() {
	start_backend 1 lettore-1 v1 $slots $hold_ms
	start_backend 2 lettore-2 v1 $slots $hold_ms
	for n in 1 2 3; do start_backend $((n + 2)) prenota-$n v1 3; done
}

# most_at_once SERVER HOSTS: prints the greatest number of requests from these
# hosts (a pattern) that the server ran at the same time.
most_at_once() {
	awk -v server="$1" -v hosts="^($2)-" '
		$2 != server || $3 !~ hosts { next }
		$1 == "run" { if (++n > most) most = n }
		$1 == "end" { n-- }
		END { print most + 0 }' "$dir/runs.log"
}

# Each host has one connection to each of the three servers of one region.
start_fleet "/^\[endpoint prenota/,/^slots/{
	s/verona-a/milano-a/
	s/^slots.*/&\nconnections = 3/
}
/^\[endpoint lettore/,/^slots/s/^slots.*/slots = $slots/"
issue_key good

start_keyed_caller limit "$(callers 1)" 4 20 good --fault late=2000 --tries 1
wait_caller limit
expect_count limit answered 3
expect_count limit refused_not_run 1
[ "$(refusals limit no-room)" = 1 ] ||
	fail "at the limit of connections: $(cat "$dir/caller_limit.log")"

# The hosts of the full region share the whole spill cap of the other region.
for h in 1 2; do
	start_caller "slow_$h" "$(callers $h)" 12 100 --path /call/lettore/clip \
	    --fault late=2000 --tries 1 --at-once 12
done
for h in 1 2; do wait_caller "slow_$h"; done
at_once=$(most_at_once lettore-2 'milano-[12]')
[ "$at_once" = $spill ] || fail "slow: $at_once spilled at once"

# Twice the capacity of one region, and half the capacity of the other.
for h in 1 2; do
	start_caller "full_$h" "$(callers $h)" 400 80 --path /call/lettore/clip \
	    --tries 1 --at-once 30
done
start_caller own "$(callers 3)" 60 15 --path /call/lettore/clip --tries 1 \
    --at-once 4
for c in full_1 full_2 own; do
	wait_caller $c
	echo "$c: $(tail -n 1 "$dir/caller_$c.log")"
	[ "$(field unknown $c)" = 0 ] || fail "$c: unknown"
done
spilled=$(grep -c '^run lettore-2 milano' "$dir/runs.log" || true)
at_once=$(most_at_once lettore-2 'milano-[12]')
sheds=$(grep -c '^shed lettore-2 ' "$dir/runs.log" || true)
echo "spilled $spilled, at once $at_once of $spill, sheds $sheds;" \
    "at once in all $(most_at_once lettore-1 '.*') and" \
    "$(most_at_once lettore-2 '.*')"
expect_count own answered 60
[ "$spilled" -gt 0 ] || fail "no request spilled"
[ "$at_once" -le "$spill" ] || fail "spilled beyond the cap"
[ "$sheds" = 0 ] || fail "the other region was overloaded"
for n in 1 2; do
	[ "$(most_at_once lettore-$n '.*')" -le $slots ] ||
	    fail "lettore-$n overloaded"
	[ "$(refusals full_$n no-room)" = "$(field refused_not_run full_$n)" ] ||
	    fail "full_$n: refused for another reason than no room"
done
