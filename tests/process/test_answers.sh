#!/bin/sh
# A caller gets the whole answer to its own request or learns that it did not.
# An answer that names another request is never passed on. An answer that a
# backend server cuts short reaches the caller cut at the same byte.
# usage: test_answers.sh BUILD-DIR
set -eu
base=22900
# shellcheck source=tests/process/fixture.sh
. "$(dirname "$0")/fixture.sh"

# expect_own_answers NAME: each answer that the caller got names a run of the
# caller's own request number.
expect_own_answers() {
	awk 'FILENAME ~ /runs.log$/ { if ($1 == "run") number[$3] = $4; next }
	/^answered/ {
		id = $4
		sub(/\]$/, "", id)
		if (number[id] != $5)
			print
	}' "$dir/runs.log" "$dir/$1.results" >"$dir/mismatches"
	[ -s "$dir/$1.results" ] || fail "$1: no request ended"
	[ ! -s "$dir/mismatches" ] || fail "$1: $(head -n 3 "$dir/mismatches")"
	: >"$dir/runs.log"
}

# expect_cut FAULT VERSION BODY: a caller gets exactly BODY of such an answer.
# The connection is reset, so that its end cannot be taken for the end of the
# body.
expect_cut() {
	printf 'GET /call/lettore/clip HTTP/%s\r\nHost: h\r\nX-Fault: %s\r\n\r\n' \
	    "$2" "$1" | timeout 5 "$bin/tests/standin_raw" "$(callers 1)" \
	    >"$dir/got" 2>"$dir/end" || fail "$1: the connection stays open"
	[ "$(cat "$dir/end")" = reset ] || fail "$1: closed without a reset"
	tr -d '\r' <"$dir/got" | sed '1,/^$/d' >"$dir/body"
	printf '%b' "$3" | cmp -s "$dir/body" - || fail "$1: $(cat "$dir/got")"
}

# expect_cut_prefix FAULT VERSION BODY: the same, but the host may notice the
# end before or after it passes anything on. The caller gets a prefix of BODY,
# which may be empty.
expect_cut_prefix() {
	printf 'GET /call/lettore/clip HTTP/%s\r\nHost: h\r\nX-Fault: %s\r\n\r\n' \
	    "$2" "$1" | timeout 5 "$bin/tests/standin_raw" "$(callers 1)" \
	    >"$dir/got" 2>"$dir/end" || fail "$1: the connection stays open"
	[ "$(cat "$dir/end")" = reset ] || fail "$1: closed without a reset"
	part=$(tr -d '\r' <"$dir/got" | sed '1,/^$/d')
	case $3 in
	"$part"*) ;;
	*) fail "$1: $(cat "$dir/got")" ;;
	esac
}

start_fleet
issue_key good

# All other callers get their own answers from the same servers and
# connections.
start_caller clips "$all" 300 60 --path /call/lettore/clip --at-once 8 \
    --log "$dir/clips.results"
start_caller crossed "$all" 40 10 --path /call/lettore/clip --fault crossed \
    --tries 1
start_keyed_caller crossed_seats "$all" 20 10 good --fault crossed \
    --log "$dir/seats.results"
for c in clips crossed crossed_seats; do
	wait_caller $c
	echo "$c: $(tail -n 1 "$dir/caller_$c.log")"
done
expect_count crossed answered 0
expect_count crossed_seats answered 0
expect_count crossed_seats unknown 20
grep -q 'reason=crossed' "$dir"/host_*.log ||
    fail "no crossed answer was logged"
expect_own_answers clips
[ "$(field answered clips)" -gt 200 ] ||
    fail "fewer than 201 clips were answered"

sleep 1 # until the servers are no longer ejected
expect_cut cut 1.1 'half'
expect_cut cut 1.0 'half'
expect_cut cut-chunks 1.1 '4\nhalf\n'
expect_cut cut-chunks 1.0 'half'
expect_cut_prefix truncate 1.1 'half'
