#!/bin/sh
# Where there is no room the refusal says so. A region whose backend servers
# are full spills into the other within its cap, and the other's own callers
# are served as ever.
# usage: test_room.sh BUILD-DIR
set -eu
base=22800
# shellcheck source=tests/process/fixture.sh
. "$(dirname "$0")/fixture.sh"
hold_ms=200
slots=8
spill=4 # spill_cap of the demonstration, 0.5, of those slots

backends() {
	start_backend 1 lettore-1 v1 $slots $hold_ms
	start_backend 2 lettore-2 v1 $slots $hold_ms
	for n in 1 2 3; do start_backend $((n + 2)) prenota-$n v1 3; done
}

# most SERVER HOSTS: how many requests from these hosts (a pattern) the server
# ran at once.
most() {
	awk -v server="$1" -v hosts="^($2)-" '
		$2 != server || $3 !~ hosts { next }
		$1 == "run" { if (++n > most) most = n }
		$1 == "end" { n-- }
		END { print most + 0 }' "$dir/runs.log"
}

# One connection for each host to each of the three servers of one region.
start_fleet "/^\[endpoint prenota/,/^slots/{
	s/verona-a/milano-a/
	s/^slots.*/&\nconnections = 3/
}
/^\[endpoint lettore/,/^slots/s/^slots.*/slots = $slots/"
issue_key good

seats limit "$(callers 1)" 4 20 good --fault late=2000 --tries 1
end_ask limit
expect limit answered 3
expect limit refused_not_run 1
[ "$(reasons limit no-room)" = 1 ] ||
	fail "at the limit of connections: $(cat "$dir/caller_limit.log")"

# The hosts of the full region have the whole cap of the other between them.
for h in 1 2; do
	ask "slow_$h" "$(callers $h)" 12 100 --path /call/lettore/clip \
	    --fault late=2000 --tries 1 --at-once 12
done
for h in 1 2; do end_ask "slow_$h"; done
at_once=$(most lettore-2 'milano-[12]')
[ "$at_once" = $spill ] || fail "slow: $at_once spilled at once"

# Twice what one region holds, and half of what the other does.
for h in 1 2; do
	ask "full_$h" "$(callers $h)" 400 80 --path /call/lettore/clip \
	    --tries 1 --at-once 30
done
ask own "$(callers 3)" 60 15 --path /call/lettore/clip --tries 1 --at-once 4
for c in full_1 full_2 own; do
	end_ask $c
	echo "$c: $(tail -n 1 "$dir/caller_$c.log")"
	[ "$(field unknown $c)" = 0 ] || fail "$c: unknown"
done
spilled=$(grep -c '^run lettore-2 milano' "$dir/runs.log" || true)
at_once=$(most lettore-2 'milano-[12]')
sheds=$(grep -c '^shed lettore-2 ' "$dir/runs.log" || true)
echo "spilled $spilled, at once $at_once of $spill, sheds $sheds;" \
    "at once in all $(most lettore-1 '.*') and $(most lettore-2 '.*')"
expect own answered 60
[ "$spilled" -gt 0 ] || fail "nothing spilled"
[ "$at_once" -le "$spill" ] || fail "spilled beyond the cap"
[ "$sheds" = 0 ] || fail "the other region was overloaded"
for n in 1 2; do
	[ "$(most lettore-$n '.*')" -le $slots ] || fail "lettore-$n overloaded"
	[ "$(reasons full_$n no-room)" = "$(field refused_not_run full_$n)" ] ||
	    fail "full_$n: refused for another reason than no room"
done
