#!/bin/sh
# A workspace's rate and burst over three hosts at five times the rate, with
# the lender killed, a host paused and the store down meanwhile: what the
# backend servers ran in any window is at most burst + rate x window.
# usage: test_limits.sh BUILD-DIR
set -eu
base=22300
# shellcheck source=tests/process/fixture.sh
. "$(dirname "$0")/fixture.sh"
rate=20
burst=20

# The greatest excess over burst + rate x window, over all windows, in
# thousandths of a request; the log's clock ticks in ms, hence the 1 ms more.
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

# check WHAT LEAST: no window over the limit, and at least LEAST runs.
check() {
	runs=$(grep -c '^run prenota' "$dir/runs.log")
	[ "$(excess)" -le 0 ] || fail "$1: $(excess) thousandths too many"
	[ "$runs" -ge "$2" ] || fail "$1: only $runs runs"
	echo "$1: $runs runs, greatest excess $(excess) thousandths"
}

# offer NAME COUNT: five times the rate through all hosts.
offer() {
	for h in 1 2 3; do
		seats "$1_$h" "$(callers $h)" "$2" 34 good --at-once 30 \
		    --timeout 4000
	done
}

end_offer() {
	for h in 1 2 3; do end_ask "$1_$h"; done
}

# The host that lends, by its log.
lender() {
	grep -l event=limit.lending "$dir"/host_*.log | head -n 1 |
	    sed 's/.*host_\([0-9]\).*/\1/'
}

# The oracle notices one run too many.
for i in $(seq 1 21); do echo "run prenota-1 x $i 1000"; done >"$dir/runs.log"
[ "$(excess)" -gt 0 ] || fail "the oracle passes 21 runs at once"
: >"$dir/runs.log"

start_fleet "s/^rate = .*/rate = $rate/; s/^burst = .*/burst = $burst/"
issue_key good
# At once after the start and inside the rate, nothing is refused for it.
for h in 1 2 3; do seats "early_$h" "$(callers $h)" 4 4 good; done
for h in 1 2 3; do
	end_ask "early_$h"
	expect "early_$h" answered 4
done
echo "soon after the start: 12 of 12 answered"
wait_until 10 grep -q event=limit.lending "$dir"/host_*.log || fail "no lender"
killed=$(lender)
paused=$((killed % 3 + 1))

offer faults 340
sleep 2
finish "host_$killed" KILL
sleep 1
kill -STOP "$(pid host_$paused)"
sleep 3
kill -CONT "$(pid host_$paused)"
end_offer faults
check "lender killed, host paused" 20

start_host "$killed"
wait_until 15 answers "$killed" good || fail "the killed host is not back"
store_control mode=down
offer outage 170
end_offer outage
check "store down" 40
