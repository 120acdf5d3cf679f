#!/bin/sh
# A request that crashes each backend server that runs it, sent again through
# all hosts at once: at most two servers die of it, then every host refuses
# it; other requests are answered and never refused for it. What a host that
# has died had claimed for a suspect does not hold the suspect up.
# usage: test_poison.sh BUILD-DIR
set -eu
base=22500
# shellcheck source=tests/process/fixture.sh
. "$(dirname "$0")/fixture.sh"
revived=0

deaths() {
	grep -c '^crash' "$dir/runs.log" || true
}

# Starts again each server that has crashed since the last call.
revive() {
	while [ "$revived" -lt "$(deaths)" ]; do
		revived=$((revived + 1))
		dead=$(grep '^crash' "$dir/runs.log" | sed -n "${revived}p" |
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

# kill_by NAME HOSTS COUNT RATE ARGS...: sends the request, tried once.
kill_by() {
	who=$1 to=$2 count=$3 rate=$4
	shift 4
	ask "$who" "$to" "$count" "$rate" --fault crash --tries 1 \
	    --at-once 20 "$@"
}

# scene WHAT MOST FIRST ARGS...: FIRST is "one" if the first sending has ended
# before the request is sent through all hosts, else "all".
scene() {
	what=$1 most=$2 first=$3
	shift 3
	before=$(deaths)
	if [ "$first" = one ]; then
		kill_by first "$(callers 1)" 1 10 "$@"
		end_ask first
		sleep 0.3
	fi
	for h in 1 2 3; do kill_by "again_$h" "$(callers $h)" 12 4 "$@"; done
	for i in $(seq 1 35); do
		sleep 0.1
		revive
	done
	for h in 1 2 3; do end_ask "again_$h"; done
	revive
	died=$(($(deaths) - before))
	echo "$what: $died deaths"
	[ "$died" -ge 1 ] && [ "$died" -le "$most" ] ||
	    fail "$what: $died deaths"
	for h in 1 2 3; do
		kill_by "late_$h" "$(callers $h)" 1 10 "$@"
		end_ask "late_$h"
		expect "late_$h" refused_not_run 1
		[ "$(reasons "late_$h" harmful-request)" = 1 ] ||
		    fail "$what: host $h does not refuse it as harmful"
	done
	[ "$(($(deaths) - before))" -eq "$died" ] || fail "$what: ran again"
}

# A third clip server, since the two deaths allowed would take both others.
start_fleet "\$a [endpoint lettore-3]\nservice = lettore\ndomain = milano-b\naddress = 127.0.0.1:$((base + 106))\nslots = 3"
start_backend 6 lettore-3 v1 3
issue_key good

# Others that use the same servers and hosts meanwhile.
ask clips "$all" 400 25 --path /call/lettore/clip --log "$dir/clips.told" \
    --at-once 20
ask seats "$all" 400 25 --path /call/prenota/seat --method POST \
    --key-file "$dir/good" --log "$dir/seats.told" --at-once 20

scene "not idempotent" 2 one --path /call/prenota/kill --method POST \
    --key-file "$dir/good"
scene "idempotent" 2 one --path /call/lettore/kill

for c in clips seats; do
	end_ask $c
	echo "$c: $(tail -n 1 "$dir/caller_$c.log")"
	[ "$(reasons $c harmful-request)" = 0 ] || fail "$c were blamed"
	expect $c refused_not_run 0
done
# A clip may be sent again, so that each is answered.
expect clips answered 400

# At one instant no host knows of a death yet: one server for each sending that
# was under way, and none after these.
scene "at one instant" 3 all --path /call/prenota/instant --method POST \
    --key-file "$dir/good"

# A suspect runs alone for a host that dies; the host comes back without it.
mark="--path /call/prenota/mark --method POST --key-file $dir/good"
# shellcheck disable=SC2086
kill_by mark "$(callers 1)" 1 10 $mark
end_ask mark
sleep 0.3
revive
# shellcheck disable=SC2086
ask held "$(callers 1)" 1 10 --fault hang --tries 1 $mark
sleep 1.5
finish host_1 KILL
end_ask held
start_host 1
wait_until 15 serving 1 || fail "host 1 does not come back"
# shellcheck disable=SC2086
ask freed "$(callers 2)" 1 10 --tries 1 $mark
end_ask freed
expect freed answered 1
