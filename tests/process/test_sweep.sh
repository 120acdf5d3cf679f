#!/bin/sh
# Rows of the store are removed when their retention time is over, and not
# before: rows of idempotency keys, also those of a host that was killed, and
# rows of a move that was taken back. Rows of a move that is done stay.
# usage: test_sweep.sh BUILD-DIR
set -eu
base=22700
mark_sec=1
# shellcheck source=tests/process/fixture.sh
. "$(dirname "$0")/fixture.sh"

# rows PREFIX: prints the number of rows below a prefix.
rows() {
	"$bin/tests/standin_get" "$store_address" "/control?count=$1" |
	    sed -n 's/.*rows=\([0-9]*\).*/\1/p'
}

no_rows() { [ "$(rows "$1")" -eq 0 ]; }

# send_once NAME KEY HOST ARGS...: one request with an idempotency key.
send_once() {
	who=$1 id=$2 host=$3
	shift 3
	start_keyed_caller "$who" "$(callers "$host")" 1 10 good --once "$id" "$@"
}

expect_runs() {
	n=$(grep -c '^run prenota' "$dir/runs.log" || true)
	[ "$n" -eq "$2" ] || fail "$1: $n runs, not $2"
	: >"$dir/runs.log"
}

# age_all_rows: rewrites the marks so that all rows written so far count as
# more than a week old: 169 marks are a week and one hour of hourly marks.
age_all_rows() {
	marks=$(printf '1000000 %.0s' $(seq 169))
	body='{"checks":[],"writes":[{"key":"g/marks","value":"{\"versions\":'
	body=$body'\"'${marks% }'\"}"}]}'
	printf 'POST /v1/txn HTTP/1.1\r\nHost: a\r\n%s\r\n%s %d\r\n\r\n%s' \
	    'Connection: close' 'Content-Length:' ${#body} "$body" |
	    "$bin/tests/standin_raw" "$store_address" >"$dir/aged"
	grep -q '^HTTP/1.1 200' "$dir/aged" || fail "marks: $(cat "$dir/aged")"
}

start_fleet
issue_key good

# The request of one key is answered; the host of the other is killed while its
# request runs.
send_once first k1 1
wait_caller first
send_once dying k2 3 --fault late=2000
sleep 0.7
finish host_3 KILL
wait_caller dying
[ "$(rows once/)" -eq 2 ] || fail "$(rows once/) rows of keys, not 2"
sleep 10
send_once again k1 2
wait_caller again
send_once again k2 2
wait_caller again
expect_runs "sent again within the time" 2
[ "$(rows once/)" -eq 2 ] || fail "$(rows once/) rows of keys, not 2"
wait_until 90 no_rows once/ || fail "$(rows once/) of 2 rows are left"
send_once later k1 2
wait_caller later
expect_runs "sent again after the time" 1

# A move that is taken back, and one that is done.
ggl 1 drain lettore-2 --wait 30 >"$dir/drained" 2>&1 ||
    fail "drain: $(cat "$dir/drained")"
ggl 1 shift prenota --from milano --to verona --share 10% >"$dir/shift" 2>&1 ||
    fail "shift: $(cat "$dir/shift")"
move=$(grep -o 'move [0-9a-z]*' "$dir/shift" | head -n 1 | cut -d ' ' -f 2)
ggl 1 cancel "$move" --wait 30 >"$dir/cancelled" 2>&1 || true
grep -qi 'taken back\|done' "$dir/cancelled" ||
    fail "cancel: $(cat "$dir/cancelled")"
[ "$(rows g/move/)" -eq 2 ] && [ "$(rows g/move-cancel/)" -eq 1 ] ||
    fail "$(rows g/move/) and $(rows g/move-cancel/) rows of moves"
age_all_rows
wait_until 20 no_rows g/move-cancel/ || fail "a cancellation's row is left"
[ "$(rows g/move/)" -eq 1 ] || fail "$(rows g/move/) rows of moves, not 1"
sleep 2
ggl 1 status >"$dir/status" 2>&1 || fail "status"
! grep -q "$move" "$dir/status" || fail "the status still has $move"
! ggl 1 cancel "$move" --wait 5 >"$dir/late" 2>&1 ||
    fail "a late cancellation: $(cat "$dir/late")"
sleep 2
no_rows g/move-cancel/ || fail "a late cancellation left a row"
