#!/bin/sh
# Backend servers that leave get no new work after a few seconds: one that
# says so in its report, one that the platform lists as leaving while its
# report says that all is well. Also while the store is down, and while a host
# is killed and comes back.
# usage: test_leaving.sh BUILD-DIR
set -eu
base=20200
# shellcheck source=tests/process/fixture.sh
. "$(dirname "$0")/fixture.sh"
few_sec=5

runs() {
	grep -c "^run $1 " "$dir/runs.log" || true
}

# health N HEALTH: what backend server N reports of itself.
health() {
	"$bin/tests/standin_get" "127.0.0.1:$((base + 100 + $1))" \
	    "/control?health=$2" >/dev/null
}

# left WHAT HOSTS: of 60 requests none runs on the two that leave.
left() {
	first=$(runs prenota-1) second=$(runs prenota-2) third=$(runs prenota-3)
	seats after "$2" 60 60 good
	end_ask after
	[ "$(runs prenota-1)" -eq "$first" ] ||
	    fail "$1: the draining server ran more"
	[ "$(runs prenota-2)" -eq "$second" ] ||
	    fail "$1: the listed server ran more"
	[ "$(runs prenota-3)" -gt $((third + 20)) ] ||
	    fail "$1: the one that stays ran too little"
}

# returned: whether prenota-1 gets work again.
returned() {
	first=$(runs prenota-1)
	seats back "$all" 30 30 good
	end_ask back
	[ "$(runs prenota-1)" -gt "$first" ]
}

start_fleet
issue_key good
seats before "$all" 60 60 good
end_ask before
for n in 1 2 3; do
	[ "$(runs prenota-$n)" -gt 0 ] || fail "prenota-$n ran nothing before"
done
health 3 draining
store_control "hosts=milano-1,milano-2,verona-1,-prenota-2"
sleep $few_sec
left "all well" "$all"

# The report is asked of the server itself; the list is the last one known.
health 3 ok
wait_until 15 returned || fail "no work after leaving"
store_control mode=down
health 3 draining
sleep $few_sec
left "store down" "$all"
store_control mode=ok

# A host that comes back sends nothing to those who left while it was away.
health 3 ok
wait_until 15 returned || fail "no work after the store was down"
finish host_2 KILL
health 3 draining
sleep $few_sec
start_host 2
wait_until 15 serving 2 || fail "the killed host does not come back"
left "host killed" "$(callers 2)"
