#!/bin/sh
# A backend server that leaves gets no new requests after a few seconds: one
# whose load report says so, and one that the platform lists as leaving while
# its report says "ok". The same holds while the store is down, and while a
# host is killed and restarted.
# usage: test_leaving.sh BUILD-DIR
set -eu
base=20200
# shellcheck source=tests/process/fixture.sh
. "$(dirname "$0")/fixture.sh"
settle_sec=5

runs() {
	grep -c "^run $1 " "$dir/runs.log" || true
}

# health N HEALTH: sets the health that backend server N reports.
health() {
	"$bin/tests/standin_get" "127.0.0.1:$((base + 100 + $1))" \
	    "/control?health=$2" >/dev/null
}

# expect_no_new_work WHAT HOSTS: none of 60 requests runs on the two servers
# that leave.
expect_no_new_work() {
	first=$(runs prenota-1) second=$(runs prenota-2) third=$(runs prenota-3)
	start_keyed_caller after "$2" 60 60 good
	wait_caller after
	[ "$(runs prenota-1)" -eq "$first" ] ||
	    fail "$1: the draining server ran more"
	[ "$(runs prenota-2)" -eq "$second" ] ||
	    fail "$1: the listed server ran more"
	[ "$(runs prenota-3)" -gt $((third + 20)) ] ||
	    fail "$1: the one that stays ran too little"
}

# works_again: succeeds if prenota-1 gets requests again.
works_again() {
	first=$(runs prenota-1)
	start_keyed_caller back "$all" 30 30 good
	wait_caller back
	[ "$(runs prenota-1)" -gt "$first" ]
}

start_fleet
issue_key good
start_keyed_caller before "$all" 60 60 good
wait_caller before
for n in 1 2 3; do
	[ "$(runs prenota-$n)" -gt 0 ] || fail "prenota-$n ran nothing before"
done
health 3 draining
store_control "hosts=milano-1,milano-2,verona-1,-prenota-2"
sleep $settle_sec
expect_no_new_work "all well" "$all"

# The hosts ask the server itself for the report, and use the last list that
# they know.
health 3 ok
wait_until 15 works_again || fail "prenota-1 got no requests after it reported ok"
store_control mode=down
health 3 draining
sleep $settle_sec
expect_no_new_work "store down" "$all"
store_control mode=ok

# A restarted host sends nothing to servers that left while it was down.
health 3 ok
wait_until 15 works_again || fail "prenota-1 got no requests after the store was up"
finish host_2 KILL
health 3 draining
sleep $settle_sec
start_host 2
wait_until 15 serving 2 || fail "the killed host does not come back"
expect_no_new_work "host killed" "$(callers 2)"
