#!/bin/sh
# The rate and burst of a workspace over three hosts, offered five times the
# rate, while the lender is killed, a host is paused and the store is down: the
# backend servers run at most burst + rate x window requests in any window.
# usage: test_limits.sh BUILD-DIR
set -eu
base=22300
# shellcheck source=tests/process/fixture.sh
. "$(dirname "$0")/fixture.sh"
rate=20
burst=20

# Prints the greatest excess over burst + rate x window, over all windows, in
# thousandths of a request. The log's timestamps are whole milliseconds, so 1
# ms is added to each window.
excess() {
	sort -n -k 5 "$dir/runs.log" | awk -v r=$rate -v b=$burst '
	$1 == "run" && $2 ~ /^prenota/ { t[n++] = $5 }
	END {
		worst = -1000000
		for (i = 0; i < n; i++)
			for (k = i; k < n; k++) {
				e = (k - i + 1 - b) * 1000 - r * (t[k] - t[i] + 1)
				if (e > worst)
					worst = e
			}
		print worst
	}'
}

# check_runs WHAT LEAST: no window exceeds the limit, and there are at least
# LEAST runs.
check_runs() {
	runs=$(grep -c '^run prenota' "$dir/runs.log")
	[ "$(excess)" -le 0 ] || fail "$1: $(excess) thousandths too many"
	[ "$runs" -ge "$2" ] || fail "$1: only $runs runs"
	echo "$1: $runs runs, greatest excess $(excess) thousandths"
}

# start_load NAME COUNT: sends five times the rate through all hosts.
start_load() {
	for h in 1 2 3; do
		start_keyed_caller "$1_$h" "$(callers $h)" "$2" 34 good --at-once 30 \
		    --timeout 4000
	done
}

wait_load() {
	for h in 1 2 3; do wait_caller "$1_$h"; done
}

# lender: prints the number of the host whose log says that it lends.
lender() {
	grep -l event=limit.lending "$dir"/host_*.log | head -n 1 |
	    sed 's/.*host_\([0-9]\).*/\1/'
}

# Self-check: excess() detects one run above the limit.
for i in $(seq 1 21); do echo "run prenota-1 x $i 1000"; done >"$dir/runs.log"
[ "$(excess)" -gt 0 ] || fail "excess() accepts 21 runs at once"
: >"$dir/runs.log"

start_fleet "s/^rate = .*/rate = $rate/; s/^burst = .*/burst = $burst/"
issue_key good
# Directly after the start, requests within the rate are not refused.
for h in 1 2 3; do start_keyed_caller "early_$h" "$(callers $h)" 4 4 good; done
for h in 1 2 3; do
	wait_caller "early_$h"
	expect_count "early_$h" answered 4
done
echo "soon after the start: 12 of 12 answered"
wait_until 10 grep -q event=limit.lending "$dir"/host_*.log || fail "no lender"
killed=$(lender)
paused=$((killed % 3 + 1))

start_load faults 340
sleep 2
finish "host_$killed" KILL
sleep 1
kill -STOP "$(pid host_$paused)"
sleep 3
kill -CONT "$(pid host_$paused)"
wait_load faults
check_runs "lender killed, host paused" 20

start_host "$killed"
wait_until 15 accepts_key "$killed" good || fail "the killed host is not back"
store_control mode=down
start_load outage 170
wait_load outage
check_runs "store down" 40
