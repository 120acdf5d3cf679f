#!/bin/sh
# Two workspaces at once are kept apart. Keys under faults: an outage with all
# hosts in reach refuses nobody; a key withdrawn before it is refused by each
# host, also by one that is restarted or paused meanwhile.
# usage: test_keys.sh BUILD-DIR
set -eu
base=22100
# shellcheck source=tests/process/fixture.sh
. "$(dirname "$0")/fixture.sh"

# own WORKSPACE: the workspace's callers got the answers of its own requests,
# and whatever ran in its name was sent by them.
own() {
	awk -v path="/$1" 'FILENAME ~ /runs.log$/ {
		if ($1 == "run")
			ran[$3] = $6
		next
	}
	/^answered/ { sub("]", "", $4); if (ran[$4] != path) print }' \
	    "$dir/runs.log" "$dir/$1.told" >"$dir/crossed"
	[ ! -s "$dir/crossed" ] || fail "$1: $(head -n 3 "$dir/crossed")"
	n=$(grep -c "^run .* /$1\$" "$dir/runs.log" || true)
	told=$(grep -c '^answered' "$dir/$1.told" || true)
	[ "$n" -eq "$told" ] || fail "$1: $n runs, $told answered"
}

# as WORKSPACE KEY HOSTS COUNT ARGS...: the path tells the workspace.
as() {
	name=$1 key=$2 to=$3 count=$4
	shift 4
	ask "$name" "$to" "$count" 30 --path "/call/prenota/$name" \
	    --method POST --tries 1 --key-file "$dir/$key" "$@"
}

start_fleet 's/^\[workspace sera\]/[workspace alba]\nrate = 10\nburst = 10\n&/'
issue_key good
issue_key alba alba

# Only the workspace that sends more than its rate is refused for it, and the
# same idempotency key of both is two keys.
as sera good "$all" 200 --log "$dir/sera.told"
as alba alba "$all" 200 --log "$dir/alba.told"
end_ask sera
end_ask alba
expect sera answered 200
[ "$(reasons alba over-rate)" -gt 0 ] || fail "alba was not refused"
[ "$(field answered alba)" -gt 0 ] || fail "alba was not served"
own sera
own alba
: >"$dir/runs.log"
sleep 2
for turn in sera,good alba,alba; do
	w=${turn%,*}
	as "$w" "${turn#*,}" "$(callers 1)" 1 --once k
	end_ask "$w"
	expect "$w" answered 1
	grep -q "^run .* /$w\$" "$dir/runs.log" || fail "$w: k did not run"
done
issue_key bad
issue_key worse

# A host is paused while a key is withdrawn; requests wait at its socket.
kill -STOP "$(pid host_2)"
ggl 1 key withdraw - --wait 12 <"$dir/worse" >"$dir/withdrawn" 2>&1 ||
    fail "withdrawal with a host paused: $(cat "$dir/withdrawn")"
seats woken "$(callers 2)" 40 200 worse --at-once 40
sleep 0.5
kill -CONT "$(pid host_2)"
end_ask woken
expect woken answered 0
wait_until 10 answers 2 good || fail "the woken host refuses a good key"

# The store goes down right after the withdrawal was accepted.
ggl 1 key withdraw - --wait 0 <"$dir/bad" >"$dir/withdrawn" 2>&1 ||
    fail "withdrawal: $(cat "$dir/withdrawn")"
store_control mode=down
sleep 5
seats withdrawn "$all" 30 100 bad
end_ask withdrawn
expect withdrawn answered 0
# Eight seconds of the outage are over before the next requests.
sleep 3
seats outage "$all" 200 30 good --log "$dir/outage.log"
end_ask outage
expect outage answered 200

# A host dies and is back before the store is; then the store comes back.
finish host_3 KILL
start_host 3
seats fresh "$(callers 3)" 100 40 bad
end_ask fresh
expect fresh answered 0
store_control "mode=ok&delay_ms=200"
seats loading "$(callers 3)" 100 40 bad
wait_until 15 answers 3 good || fail "the fresh host does not serve"
end_ask loading
expect loading answered 0
seats after "$all" 30 100 bad
end_ask after
expect after answered 0
[ "$(reasons after key-withdrawn)" -eq 30 ] || fail "not as withdrawn"
! grep -q '^key-seen' "$dir/runs.log" || fail "a backend server saw a key"
