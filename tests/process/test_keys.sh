#!/bin/sh
# Keys under faults: an outage with all hosts in reach refuses nobody; a key
# withdrawn before it is refused by each host, also by one that is restarted
# or paused meanwhile.
# usage: test_keys.sh BUILD-DIR
set -eu
base=22100
# shellcheck source=tests/process/fixture.sh
. "$(dirname "$0")/fixture.sh"

start_fleet
issue_key good
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
