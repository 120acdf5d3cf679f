#!/bin/bash
# A planned stop while the store is down: the host that leaves sends the others
# a departure notice, so that they need no promises from it and refuse no
# request.
# usage: test_departure.sh BUILD-DIR
set -eu
bin=$1
dir=$(mktemp -d)
base=20000
# shellcheck source=scripts/fleet.sh
. "$(dirname "$0")/../../scripts/fleet.sh"
trap 'stop_all; rm -rf "$dir"' EXIT

fail() {
	echo "FAILED: $*"
	tail -n 5 "$dir"/host_*.log
	exit 1
}

new_secret
start_store
for i in 1 2 3 4 5; do start_backend $i "b-$i" v1 30; done
host_settings 1 milano-1 milano milano-a
host_settings 2 milano-2 milano milano-b
host_settings 3 verona-1 verona verona-a
for n in 1 2 3; do start_host $n; done
sed "s/PORT+/$((base / 100 + 1))0/" \
    "$(dirname "$0")/../../examples/demo.ini" >"$dir/text.ini"
wait_until 20 ggl 1 apply "$dir/text.ini" --wait 10 || fail "apply"
for n in 1 2 3; do wait_until 20 serving $n || fail "host $n"; done
ggl 1 key issue sera --wait 10 >"$dir/issued" 2>&1 || fail "key issue"
grep -o 'ggl_[A-Za-z0-9_-]*' "$dir/issued" | head -n 1 >"$dir/key"
sleep 4
store_control mode=down
finish host_3 TERM
[ "$status" -eq 0 ] || fail "verona-1 did not stop cleanly: $status"
sleep 6
timeout 30 "$bin/tests/standin_caller" --to "$(callers 1),$(callers 2)" \
    --path /call/prenota/seat --method POST --key-file "$dir/key" \
    --count 100 --rate 50 --tries 1 >"$dir/count" || fail "caller"
grep -q "answered=100 " "$dir/count" || fail "refused: $(cat "$dir/count")"
