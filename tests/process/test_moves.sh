#!/bin/sh
# Moves over separate processes: a rollout of a good version completes, one of
# a bad version is taken back, a drained endpoint gets no more requests, and a
# cancelled move is taken back. Checked by counts in the backend servers' log.
# usage: test_moves.sh BUILD-DIR
set -eu
bin=$1
dir=$(mktemp -d)
base=21000
# shellcheck source=scripts/fleet.sh
. "$(dirname "$0")/../../scripts/fleet.sh"
trap 'stop_all; rm -rf "$dir"' EXIT
trap 'exit 1' INT TERM

fail() {
	echo "moves: FAILED: $*"
	grep -h 'event=move\|move\.' "$dir"/host_*.log | tail -n 40
	tail -n 3 "$dir"/host_*.log
	ggl 1 status --json || true
	exit 1
}

# print_endpoint N NAME DOMAIN VERSION
print_endpoint() {
	cat <<END
[endpoint $2]
service = lettore
domain = $3
address = 127.0.0.1:$((base + 100 + $1))
version = $4
slots = 3
END
}

print_config() {
	cat <<END
[fleet]
hosts = 3
lookup_ttl_sec = 1
rollout_cap = 0.2
shift_cap = 0.5
[region milano]
[region verona]
[domain milano-a]
region = milano
[domain milano-b]
region = milano
[domain verona-a]
region = verona
[link milano verona]
one_way_ms = 20
bits_per_sec = 4000000000
[service lettore]
version = v1
timeout_ms = 5000
typical_ms = 20
[route clips]
service = lettore
prefix = /
access = open
idempotent = yes
[workspace sera]
rate = 200
burst = 200
END
	for v in 1 2 3; do
		print_endpoint $((v * 10 + 1)) "v$v-a" milano-a "v$v"
		print_endpoint $((v * 10 + 2)) "v$v-b" milano-b "v$v"
		print_endpoint $((v * 10 + 3)) "v$v-c" verona-a "v$v"
	done
}

# runs PATTERN [FROM-LINE]: prints the number of runs on endpoints whose names
# begin with PATTERN.
runs() {
	tail -n "+${2:-1}" "$dir/runs.log" | grep -c "^run $1" || true
}

next_line() {
	echo $(($(wc -l <"$dir/runs.log") + 1))
}

# ggl_retry N ARGS...: like ggl, and tries again while host N may not write
# yet.
ggl_retry() {
	left=20
	while [ "$left" -gt 0 ]; do
		status=0
		ggl "$@" >"$dir/answer" 2>&1 || status=$?
		grep -q "not yet known" "$dir/answer" || break
		sleep 0.5
		left=$((left - 1))
	done
	cat "$dir/answer"
	return "$status"
}

new_secret
start_store
for v in 1 2 3; do
	start_backend $((v * 10 + 1)) "v$v-a" "v$v" 3
	start_backend $((v * 10 + 2)) "v$v-b" "v$v" 3
	start_backend $((v * 10 + 3)) "v$v-c" "v$v" 3
done
host_settings 1 milano-1 milano milano-a
host_settings 2 milano-2 milano milano-b
host_settings 3 verona-1 verona verona-a
for n in 1 2 3; do start_host $n; done
print_config >"$dir/text.ini"
wait_until 20 timeout 15 "$bin/src/cmd/greengageloom" --secret-file \
    "$dir/secret" --host "127.0.0.1:$((base + 21))" apply "$dir/text.ini" \
    --wait 10 || fail "apply"
for n in 1 2 3; do
	wait_until 15 serving $n || fail "host $n does not serve"
done
start caller "$bin/tests/standin_caller" \
    --to "$(callers 1),$(callers 2),$(callers 3)" --path /call/lettore/clip/1 \
    --count 1000000 --rate 100 --at-once 8
wait_until 10 test -s "$dir/runs.log" || fail "no requests run"
sleep 1
[ "$(runs v2)" -eq 0 ] || fail "v2 served before its rollout"

# The rollout of a good version is done, and the old version gets no more
# requests. The old version has more load on each endpoint than the rollout cap
# lets the new version reach.
set_hold_ms() {
	for n in 11 12 13 21 22 23; do
		"$bin/tests/standin_get" "127.0.0.1:$((base + 100 + n))" \
		    "/control?hold_ms=$1" >/dev/null
	done
}
set_hold_ms 60
ggl_retry 1 rollout lettore --to v2 --within 40 --wait 60 >"$dir/good" ||
    fail "good version: $(cat "$dir/good")"
set_hold_ms 5
sleep 1
from=$(next_line)
sleep 2
[ "$(runs v2 "$from")" -gt 0 ] || fail "v2 serves nothing after its rollout"
[ "$(runs v1 "$from")" -eq 0 ] || fail "v1 serves after the rollout"
echo "moves: good version: $(cat "$dir/good")"

# A bad version is taken back, and never got more than its cap.
for n in 31 32 33; do
	"$bin/tests/standin_get" "127.0.0.1:$((base + 100 + n))" \
	    "/control?fail_permille=500" >/dev/null
done
from=$(next_line)
status=0
ggl_retry 2 rollout lettore --to v3 --within 60 --wait 60 >"$dir/bad" 2>&1 ||
    status=$?
[ "$status" -eq 1 ] && grep -q "taken.back" "$dir/bad" ||
    fail "bad version: status $status: $(cat "$dir/bad")"
bad=$(runs v3 "$from")
all=$(runs v "$from")
[ "$bad" -gt 0 ] || fail "the bad version was never tried"
[ $((bad * 5)) -le "$all" ] || fail "bad version had $bad of $all requests"
sleep 1
from=$(next_line)
sleep 2
[ "$(runs v3 "$from")" -eq 0 ] || fail "v3 serves after it was taken back"
echo "moves: bad version had $bad of $all requests: $(cat "$dir/bad")"

# A drained endpoint gets no new requests.
ggl_retry 3 drain v2-a --wait 60 >"$dir/drain" ||
    fail "drain: $(cat "$dir/drain")"
sleep 1
from=$(next_line)
sleep 2
[ "$(runs v2-a "$from")" -eq 0 ] || fail "a drained endpoint serves"
[ "$(runs v2-b "$from")" -gt 0 ] || fail "nothing serves after the drain"
echo "moves: $(cat "$dir/drain")"

# A second move of the service is refused while one runs; the running one can
# be cancelled.
ggl_retry 1 rollout lettore --to v1 --within 3600 >"$dir/first" ||
    fail "second rollout: $(cat "$dir/first")"
id=$(grep -o '[0-9a-f]\{16\}' "$dir/first" | head -n 1)
status=0
ggl 2 rollout lettore --to v3 --within 60 >"$dir/second" 2>&1 || status=$?
[ "$status" -eq 4 ] ||
    fail "second move was not refused: $status $(cat "$dir/second")"
ggl_retry 3 cancel "$id" --wait 30 >"$dir/cancel" 2>&1 ||
    fail "cancel: $(cat "$dir/cancel")"
ggl 1 status --json | grep -q '"reason": *"cancelled"' || fail "status"
echo "moves: $(cat "$dir/cancel")"

# An operator who has been told that a move ended can start the next one
# through any host.
for n in 1 2 3 2 1 3; do
	ggl_retry "$n" rollout lettore --to v1 --within 3600 >"$dir/next" ||
	    fail "after the end was reported, host $n: $(cat "$dir/next")"
	id=$(grep -o '[0-9a-f]\{16\}' "$dir/next" | head -n 1)
	ggl_retry "$n" cancel "$id" --wait 30 >"$dir/cancel" 2>&1 ||
	    fail "cancel through host $n: $(cat "$dir/cancel")"
done

# The holder is killed in the middle of a rollout. The next holder continues
# from the row, and the end of the move is reported once.
holder=
for n in 1 2 3; do
	if grep -q "duty=moves op=take .*won=yes" "$dir/host_$n.log"; then
		holder=$n
	fi
done
[ -n "$holder" ] || fail "no host holds the duty"
other=$((holder % 3 + 1))
ggl_retry "$other" rollout lettore --to v1 --within 60 >"$dir/third" ||
    fail "third rollout: $(cat "$dir/third")"
id=$(grep -o '[0-9a-f]\{16\}' "$dir/third" | head -n 1)
reached_cap() {
	grep -q "move.step move=$id .*share=2000" "$dir/host_$other.log"
}
wait_until 20 reached_cap || fail "the rollout did not begin"
finish "host_$holder" KILL
rollout_done() {
	grep -q "move.step move=$id .*state=done" "$dir/host_$other.log"
}
wait_until 90 rollout_done || fail "no end after the holder was killed"
sleep 1
reports=$(cat "$dir"/host_*.log | grep -c "move.ended move=$id")
[ "$reports" -eq 1 ] || fail "$reports reports of one move"
from=$(next_line)
sleep 2
[ "$(runs v1 "$from")" -gt 0 ] || fail "v1 serves nothing after its rollout"
[ "$(runs v2 "$from")" -eq 0 ] || fail "v2 serves after the rollout to v1"
finish "host_$other" TERM
[ "$status" -eq 0 ] || fail "host $other did not stop cleanly: $status"
echo "moves: done after its holder was killed"
