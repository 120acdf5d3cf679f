#!/bin/sh
# Requests that are not idempotent run at most once, through drops, cut
# answers, hangs and crashes, with idempotency keys sent again through the
# same and another host, store up and down, a host killed meanwhile; and what
# is refused as not run is in no backend server's log.
# usage: test_once.sh BUILD-DIR
set -eu
base=22400
# shellcheck source=tests/process/fixture.sh
. "$(dirname "$0")/fixture.sh"


# truth NAME: runs by caller's number against what its caller was told.
truth() {
	awk '$1 == "run" && $2 ~ /^prenota/ { n[$4]++ }
	END { for (i in n) print i, n[i] }' "$dir/runs.log" >"$dir/counts"
	awk 'FILENAME ~ /counts$/ { n[$1] = $2; next }
	{ number = $(NF - 1) }
	n[number] > 1 { print "ran " n[number] " times: " $0 }
	/^refused-not-run/ && n[number] > 0 { print "ran, yet: " $0 }
	/^answered/ && n[number] != 1 { print "not run, yet: " $0 }' \
	    "$dir/counts" "$dir/$1.told" >"$dir/lies"
	[ -s "$dir/$1.told" ] || fail "$1: nobody was told anything"
	[ -s "$dir/lies" ] && fail "$1: $(head -n 3 "$dir/lies")"
	: >"$dir/runs.log"
}

# send_once NAME ID HOST ARGS...: one request with an idempotency key.
send_once() {
	who=$1 id=$2 host=$3
	shift 3
	seats "$who" "$(callers "$host")" 1 10 good --once "$id" "$@"
	end_ask "$who"
	cat "$dir/caller_$who.log" >>"$dir/once.told"
}

# runs_are WHAT LEAST MOST: runs of one key, and that nobody was told wrong.
runs_are() {
	n=$(grep -c '^run prenota' "$dir/runs.log" || true)
	[ "$n" -ge "$2" ] && [ "$n" -le "$3" ] ||
	    fail "$1: $n runs, not $2 to $3: $(cat "$dir/once.told")"
	[ "$2" -eq 0 ] || ! grep -q refused_not_run=1 "$dir/once.told" ||
	    fail "$1: ran, yet: $(cat "$dir/once.told")"
	[ "$n" -gt 0 ] || ! grep -q answered=1 "$dir/once.told" ||
	    fail "$1: not run, yet: $(cat "$dir/once.told")"
	echo "$1: $n runs; $(grep -c answered=1 "$dir/once.told") answered"
	: >"$dir/runs.log"
	: >"$dir/once.told"
}

backends_seats() {
	start_backend 3 prenota-1 v1 3
	start_backend 4 prenota-2 v1 3
	start_backend 5 prenota-3 v1 3
}

start_fleet
issue_key good

# Faults of the backend servers, each request tried up to three times by its
# caller where it is told that it did not run.
for fault in drop truncate fail hang; do
	ask "$fault" "$all" 10 50 --path /call/prenota/seat --method POST \
	    --key-file "$dir/good" --fault "$fault" --tries 3 --body "$fault" \
	    --timeout 1500 --at-once 10 --log "$dir/$fault.told"
	end_ask "$fault"
	truth "$fault"
done
for n in 3 4 5; do finish backend_$n KILL; done
backends_seats
wait_until 10 answers 1 good || fail "no host answers after the faults"
: >"$dir/runs.log"

# Servers die under load and come back.
ask load "$all" 200 60 --path /call/prenota/seat --method POST \
    --key-file "$dir/good" --tries 3 --log "$dir/load.told"
sleep 1
finish backend_3 KILL
sleep 0.5
start_backend 3 prenota-1 v1 3
finish host_2 KILL
sleep 0.5
finish backend_4 KILL
start_backend 4 prenota-2 v1 3
end_ask load
truth load

# Idempotency keys: the same host, another host, another body.
: >"$dir/once.told"
send_once same k1 1
send_once same k1 1
send_once other k1 3
runs_are "answered, sent again" 1 1
send_once drop k2 1 --fault drop
send_once drop k2 1
send_once drop k2 3
runs_are "broken off, sent again" 1 1

# The host that carried it is killed while the request runs.
ask dying "$(callers 3)" 1 10 --path /call/prenota/seat --method POST \
    --key-file "$dir/good" --once k3 --fault late=2000 --tries 1
sleep 0.7
finish host_3 KILL
end_ask dying
send_once dying2 k3 1
runs_are "host killed, sent again" 1 1

# The store is away: either refused as not run, or run once.
start_host 3
wait_until 15 answers 3 good || fail "the killed host is not back"
: >"$dir/runs.log"
store_control mode=down
send_once down k4 1
send_once down k4 1
send_once down k4 3
store_control mode=ok
sleep 1.5
send_once back k4 3
send_once back k4 1
runs_are "store down, sent again" 0 1
# The answer of the store is lost after its write.
store_control mode=lose
send_once lost k5 1
store_control mode=ok
sleep 1
send_once lost k5 3
runs_are "store's answer lost" 0 1
