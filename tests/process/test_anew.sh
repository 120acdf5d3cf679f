#!/bin/sh
# FAULT: a host whose place in the roster another process takes ended with 255.
# It starts anew, and a stop still ends it in order.
# usage: test_anew.sh BUILD-DIR
set -eu
base=24940
# shellcheck source=tests/process/fixture.sh
. "$(dirname "$0")/fixture.sh"

joined() {
	[ "$(grep -c event=roster.joined "$dir/host_$1.log")" -ge "$2" ]
}

anew() {
	[ "$(grep -c event=host.starts_anew "$dir/host_1.log")" -ge "$1" ]
}

new_secret
start_store
mark_sec=1
host_settings 1 milano-1 milano milano-a
host_settings 2 milano-1 milano milano-a
start_host 1
wait_until 15 joined 1 1 || fail "host 1 did not join"
start_host 2
wait_until 15 grep -q event=roster.superseded "$dir/host_1.log" ||
    fail "host 1 does not know that its place was taken"
finish host_2 TERM
[ "$status" -eq 0 ] || fail "host 2: exit status $status"
wait_until 15 joined 1 2 || fail "host 1 did not join again"
finish host_1 TERM
[ "$status" -eq 0 ] || fail "host 1: exit status $status"

# A stop while it waits to start anew ends it, too.
start_host 1
wait_until 15 joined 1 3 || fail "host 1 did not join"
start_host 2
wait_until 15 anew 2 || fail "host 1 does not start anew"
finish host_1 TERM
[ "$status" -eq 0 ] || fail "host 1, waiting: exit status $status"
