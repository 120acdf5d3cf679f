#!/bin/sh
# Backend servers that leave get no new work after a few seconds: one that
# says so in its report, one that the platform lists as leaving while its
# report says that all is well.
# usage: test_leaving.sh BUILD-DIR
set -eu
base=20200
# shellcheck source=tests/process/fixture.sh
. "$(dirname "$0")/fixture.sh"

runs() {
	grep -c "^run $1 " "$dir/runs.log" || true
}

start_fleet
issue_key good
seats before "$all" 60 60 good
end_ask before
for n in 1 2 3; do
	[ "$(runs prenota-$n)" -gt 0 ] || fail "prenota-$n ran nothing before"
done
"$bin/tests/standin_get" "127.0.0.1:$((base + 103))" \
    "/control?health=draining" >/dev/null
store_control "hosts=milano-1,milano-2,verona-1,-prenota-2"
sleep 5
first=$(runs prenota-1)
second=$(runs prenota-2)
seats after "$all" 60 60 good
end_ask after
[ "$(runs prenota-1)" -eq "$first" ] || fail "the draining server ran more"
[ "$(runs prenota-2)" -eq "$second" ] || fail "the listed server ran more"
[ "$(runs prenota-3)" -gt 20 ] || fail "the one that stays ran too little"
