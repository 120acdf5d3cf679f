#!/bin/sh
# Requests that are not idempotent run at most once: under dropped connections,
# cut answers, hangs and crashes, and when a request with an idempotency key is
# sent again through the same or another host, with the store up or down, or
# with a host killed in between. A request that is refused as not run is in no
# backend server's log.
# usage: test_once.sh BUILD-DIR
set -eu
base=22400
# shellcheck source=tests/process/fixture.sh
. "$(dirname "$0")/fixture.sh"


# check_results NAME: compares the runs of each request number with the result
# that the caller got.
check_results() {
	awk '$1 == "run" && $2 ~ /^prenota/ { n[$4]++ }
	END { for (i in n) print i, n[i] }' "$dir/runs.log" >"$dir/counts"
	awk 'FILENAME ~ /counts$/ { n[$1] = $2; next }
	{ number = $(NF - 1) }
	n[number] > 1 { print "ran " n[number] " times: " $0 }
	/^refused-not-run/ && n[number] > 0 { print "ran, yet: " $0 }
	/^answered/ && n[number] != 1 { print "not run, yet: " $0 }' \
	    "$dir/counts" "$dir/$1.results" >"$dir/mismatches"
	[ -s "$dir/$1.results" ] || fail "$1: no request ended"
	[ -s "$dir/mismatches" ] && fail "$1: $(head -n 3 "$dir/mismatches")"
	: >"$dir/runs.log"
}

# send_once NAME ID HOST ARGS...: one request with an idempotency key.
send_once() {
	who=$1 id=$2 host=$3
	shift 3
	start_keyed_caller "$who" "$(callers "$host")" 1 10 good --once "$id" "$@"
	wait_caller "$who"
	cat "$dir/caller_$who.log" >>"$dir/once.results"
}

# expect_runs WHAT LEAST MOST: the number of runs of one idempotency key, and
# that no caller got a result that contradicts it.
expect_runs() {
	n=$(grep -c '^run prenota' "$dir/runs.log" || true)
	[ "$n" -ge "$2" ] && [ "$n" -le "$3" ] ||
	    fail "$1: $n runs, not $2 to $3: $(cat "$dir/once.results")"
	[ "$2" -eq 0 ] || ! grep -q refused_not_run=1 "$dir/once.results" ||
	    fail "$1: ran, yet: $(cat "$dir/once.results")"
	[ "$n" -gt 0 ] || ! grep -q answered=1 "$dir/once.results" ||
	    fail "$1: not run, yet: $(cat "$dir/once.results")"
	echo "$1: $n runs; $(grep -c answered=1 "$dir/once.results") answered"
	: >"$dir/runs.log"
	: >"$dir/once.results"
}

start_prenota() {
	start_backend 3 prenota-1 v1 3
	start_backend 4 prenota-2 v1 3
	start_backend 5 prenota-3 v1 3
}

start_fleet
issue_key good

# Faults of the backend servers. A caller sends a request up to three times if
# the answer says that it did not run.
for fault in drop truncate fail hang; do
	start_caller "$fault" "$all" 10 50 --path /call/prenota/seat --method POST \
	    --key-file "$dir/good" --fault "$fault" --tries 3 --body "$fault" \
	    --timeout 1500 --at-once 10 --log "$dir/$fault.results"
	wait_caller "$fault"
	check_results "$fault"
done
for n in 3 4 5; do finish backend_$n KILL; done
start_prenota
wait_until 10 accepts_key 1 good || fail "no host answers after the faults"
: >"$dir/runs.log"

# Servers are killed under load and restarted.
start_caller load "$all" 200 60 --path /call/prenota/seat --method POST \
    --key-file "$dir/good" --tries 3 --log "$dir/load.results"
sleep 1
finish backend_3 KILL
sleep 0.5
start_backend 3 prenota-1 v1 3
finish host_2 KILL
sleep 0.5
finish backend_4 KILL
start_backend 4 prenota-2 v1 3
wait_caller load
check_results load

# Idempotency keys, sent again through the same host and through another one.
: >"$dir/once.results"
send_once same k1 1
send_once same k1 1
send_once other k1 3
expect_runs "answered, sent again" 1 1
send_once drop k2 1 --fault drop
send_once drop k2 1
send_once drop k2 3
expect_runs "broken off, sent again" 1 1

# The host that proxies the request is killed while the request runs.
start_caller dying "$(callers 3)" 1 10 --path /call/prenota/seat --method POST \
    --key-file "$dir/good" --once k3 --fault late=2000 --tries 1
sleep 0.7
finish host_3 KILL
wait_caller dying
send_once dying2 k3 1
expect_runs "host killed, sent again" 1 1

# The store is down: the request is refused as not run, or runs once.
start_host 3
wait_until 15 accepts_key 3 good || fail "the killed host is not back"
: >"$dir/runs.log"
store_control mode=down
send_once down k4 1
send_once down k4 1
send_once down k4 3
store_control mode=ok
sleep 1.5
send_once back k4 3
send_once back k4 1
expect_runs "store down, sent again" 0 1
# The store applies the write, but its answer is lost.
store_control mode=lose
send_once lost k5 1
store_control mode=ok
sleep 1
send_once lost k5 3
expect_runs "store's answer lost" 0 1
