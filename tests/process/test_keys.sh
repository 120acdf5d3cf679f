#!/bin/sh
# Two workspaces that send at the same time do not affect each other. Keys
# under faults: while the store is down and all hosts reach one another, no
# request is refused; a key withdrawn before the outage is refused by each
# host, also by one that is restarted or paused during it.
# usage: test_keys.sh BUILD-DIR
set -eu
base=22100
# shellcheck source=tests/process/fixture.sh
. "$(dirname "$0")/fixture.sh"

# expect_own_runs WORKSPACE: the workspace's callers got the answers to their
# own requests, and each run for the workspace was sent by them.
expect_own_runs() {
	awk -v path="/$1" 'FILENAME ~ /runs.log$/ {
		if ($1 == "run")
			ran[$3] = $6
		next
	}
	/^answered/ { sub("]", "", $4); if (ran[$4] != path) print }' \
	    "$dir/runs.log" "$dir/$1.results" >"$dir/crossed"
	[ ! -s "$dir/crossed" ] || fail "$1: $(head -n 3 "$dir/crossed")"
	n=$(grep -c "^run .* /$1\$" "$dir/runs.log" || true)
	answered=$(grep -c '^answered' "$dir/$1.results" || true)
	[ "$n" -eq "$answered" ] || fail "$1: $n runs, $answered answered"
}

# start_workspace_caller WORKSPACE KEY HOSTS COUNT ARGS...: sends requests
# whose path names the workspace.
start_workspace_caller() {
	name=$1 key=$2 to=$3 count=$4
	shift 4
	start_caller "$name" "$to" "$count" 30 --path "/call/prenota/$name" \
	    --method POST --tries 1 --key-file "$dir/$key" "$@"
}

start_fleet 's/^\[workspace sera\]/[workspace alba]\nrate = 10\nburst = 10\n&/'
issue_key good
issue_key alba alba

# Only the workspace that exceeds its rate is refused for it. The same
# idempotency key sent by two workspaces counts as two keys.
start_workspace_caller sera good "$all" 200 --log "$dir/sera.results"
start_workspace_caller alba alba "$all" 200 --log "$dir/alba.results"
wait_caller sera
wait_caller alba
expect_count sera answered 200
[ "$(refusals alba over-rate)" -gt 0 ] || fail "alba was not refused"
[ "$(field answered alba)" -gt 0 ] || fail "alba was not served"
expect_own_runs sera
expect_own_runs alba
: >"$dir/runs.log"
sleep 2
for turn in sera,good alba,alba; do
	w=${turn%,*}
	start_workspace_caller "$w" "${turn#*,}" "$(callers 1)" 1 --once k
	wait_caller "$w"
	expect_count "$w" answered 1
	grep -q "^run .* /$w\$" "$dir/runs.log" || fail "$w: k did not run"
done
issue_key bad
issue_key worse

# A host is paused while a key is withdrawn, and requests wait at its socket.
kill -STOP "$(pid host_2)"
ggl 1 key withdraw - --wait 12 <"$dir/worse" >"$dir/withdrawn" 2>&1 ||
    fail "withdrawal with a host paused: $(cat "$dir/withdrawn")"
start_keyed_caller resumed "$(callers 2)" 40 200 worse --at-once 40
sleep 0.5
kill -CONT "$(pid host_2)"
wait_caller resumed
expect_count resumed answered 0
wait_until 10 accepts_key 2 good || fail "the resumed host refuses a good key"

# The store goes down right after the withdrawal was accepted.
ggl 1 key withdraw - --wait 0 <"$dir/bad" >"$dir/withdrawn" 2>&1 ||
    fail "withdrawal: $(cat "$dir/withdrawn")"
store_control mode=down
sleep 5
start_keyed_caller withdrawn "$all" 30 100 bad
wait_caller withdrawn
expect_count withdrawn answered 0
# The next requests are sent eight seconds into the outage.
sleep 3
start_keyed_caller outage "$all" 200 30 good --log "$dir/outage.log"
wait_caller outage
expect_count outage answered 200

# A host is killed and restarted before the store is up again; then the store
# comes back.
finish host_3 KILL
start_host 3
start_keyed_caller restarted "$(callers 3)" 100 40 bad
wait_caller restarted
expect_count restarted answered 0
store_control "mode=ok&delay_ms=200"
start_keyed_caller loading "$(callers 3)" 100 40 bad
wait_until 15 accepts_key 3 good || fail "the restarted host does not serve"
wait_caller loading
expect_count loading answered 0
start_keyed_caller after "$all" 30 100 bad
wait_caller after
expect_count after answered 0
[ "$(refusals after key-withdrawn)" -eq 30 ] || fail "not refused as withdrawn"
! grep -q '^key-seen' "$dir/runs.log" || fail "a backend server saw a key"
