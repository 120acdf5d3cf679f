#!/bin/sh
# A request that crashes each backend server that runs it is sent again through
# all hosts at once. At most two servers crash, then every host refuses the
# request. Other requests are answered and never refused as harmful. An
# endpoint that a killed host had reserved for a suspect does not delay the
# suspect.
# usage: test_poison.sh BUILD-DIR
set -eu
base=22500
# shellcheck source=tests/process/fixture.sh
. "$(dirname "$0")/fixture.sh"
restarted=0

deaths() {
	grep -c '^crash' "$dir/runs.log" || true
}

# Restarts each server that has crashed since the last call.
restart_crashed() {
	while [ "$restarted" -lt "$(deaths)" ]; do
		restarted=$((restarted + 1))
		dead=$(grep '^crash' "$dir/runs.log" | sed -n "${restarted}p" |
		    cut -d ' ' -f 2)
		case $dead in
		lettore-1) n=1 ;;
		lettore-2) n=2 ;;
		lettore-3) n=6 ;;
		prenota-1) n=3 ;;
		prenota-2) n=4 ;;
		*) n=5 ;;
		esac
		wait "$(pid backend_$n)" || true
		start_backend "$n" "$dead" v1 3
	done
}

# start_crashing_caller NAME HOSTS COUNT RATE ARGS...: sends the crashing
# request, tried once.
start_crashing_caller() {
	who=$1 to=$2 count=$3 rate=$4
	shift 4
	start_caller "$who" "$to" "$count" "$rate" --fault crash --tries 1 \
	    --at-once 20 "$@"
}

# check_crashing_request WHAT MOST FIRST ARGS...: at most MOST servers crash.
# FIRST is "one" if the first attempt has ended before the request is sent
# through all hosts, else "all".
check_crashing_request() {
	what=$1 most=$2 first=$3
	shift 3
	before=$(deaths)
	if [ "$first" = one ]; then
		start_crashing_caller first "$(callers 1)" 1 10 "$@"
		wait_caller first
		sleep 0.3
	fi
	for h in 1 2 3; do
		start_crashing_caller "again_$h" "$(callers $h)" 12 4 "$@"
	done
	for i in $(seq 1 35); do
		sleep 0.1
		restart_crashed
	done
	for h in 1 2 3; do wait_caller "again_$h"; done
	restart_crashed
	died=$(($(deaths) - before))
	echo "$what: $died deaths"
	[ "$died" -ge 1 ] && [ "$died" -le "$most" ] ||
	    fail "$what: $died deaths"
	for h in 1 2 3; do
		start_crashing_caller "late_$h" "$(callers $h)" 1 10 "$@"
		wait_caller "late_$h"
		expect_count "late_$h" refused_not_run 1
		[ "$(refusals "late_$h" harmful-request)" = 1 ] ||
		    fail "$what: host $h does not refuse it as harmful"
	done
	[ "$(($(deaths) - before))" -eq "$died" ] || fail "$what: ran again"
}

# A third clip server, because the two allowed crashes would take down both of
# the others.
start_fleet "\$a [endpoint lettore-3]\nservice = lettore\ndomain = milano-b\naddress = 127.0.0.1:$((base + 106))\nslots = 3"
start_backend 6 lettore-3 v1 3
issue_key good

# Other callers use the same servers and hosts at the same time.
start_caller clips "$all" 400 25 --path /call/lettore/clip \
    --log "$dir/clips.results" --at-once 20
start_caller seats "$all" 400 25 --path /call/prenota/seat --method POST \
    --key-file "$dir/good" --log "$dir/seats.results" --at-once 20

check_crashing_request "not idempotent" 2 one --path /call/prenota/kill \
    --method POST --key-file "$dir/good"
check_crashing_request "idempotent" 2 one --path /call/lettore/kill

for c in clips seats; do
	wait_caller $c
	echo "$c: $(tail -n 1 "$dir/caller_$c.log")"
	[ "$(refusals $c harmful-request)" = 0 ] || fail "$c were refused as harmful"
	expect_count $c refused_not_run 0
done
# Clips are idempotent and may be sent again, so each is answered.
expect_count clips answered 400

# When the requests are sent at the same time, no host knows of a crash yet.
# Each request under way may crash one server; no server crashes after these.
check_crashing_request "at one instant" 3 all --path /call/prenota/instant \
    --method POST --key-file "$dir/good"

# A suspect runs isolated for a host that is killed. The restarted host does
# not know of it, and another host can run the request.
mark="--path /call/prenota/mark --method POST --key-file $dir/good"
# shellcheck disable=SC2086
start_crashing_caller mark "$(callers 1)" 1 10 $mark
wait_caller mark
sleep 0.3
restart_crashed
# shellcheck disable=SC2086
start_caller held "$(callers 1)" 1 10 --fault hang --tries 1 $mark
sleep 1.5
finish host_1 KILL
wait_caller held
start_host 1
wait_until 15 serving 1 || fail "host 1 does not come back"
# shellcheck disable=SC2086
start_caller freed "$(callers 2)" 1 10 --tries 1 $mark
wait_caller freed
expect_count freed answered 1
