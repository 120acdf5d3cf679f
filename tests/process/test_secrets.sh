#!/bin/sh
# A caller's key appears in no log, dump, counter or backend server's log, and
# bytes from a caller cannot forge a log line. The key is sent in every part of
# a request that may hold it, to two hosts at the most verbose log level.
# usage: test_secrets.sh BUILD-DIR
set -eu
bin=$1
dir=$(mktemp -d)
base=${SECRETS_PORT:-25000}
log_level=debug
# shellcheck source=scripts/fleet.sh
. "$(dirname "$0")/../../scripts/fleet.sh"
trap 'stop_all; rm -rf "$dir"' EXIT
trap 'exit 1' INT TERM

fail() {
	echo "test_secrets: $*"
	tail -n 3 "$dir"/host_*.log
	exit 1
}

# send_request N METHOD TARGET HEADER...: prints the answer of host N.
send_request() {
	n=$1 method=$2 target=$3
	shift 3
	printf '%s %s HTTP/1.1\r\nHost: a\r\nConnection: close\r\n' \
	    "$method" "$target" >"$dir/request"
	for h in "$@"; do printf '%s\r\n' "$h" >>"$dir/request"; done
	printf 'Content-Length: 0\r\n\r\n' >>"$dir/request"
	"$bin/tests/standin_raw" "$(callers "$n")" <"$dir/request"
}

# send_body N CODING BODY: prints the answer to a POST with a body.
send_body() {
	printf 'POST /call/prenota/seat HTTP/1.1\r\nHost: a\r\n%s\r\n' \
	    'Connection: close' >"$dir/request"
	printf 'Authorization: Bearer %s\r\n' "$key" >>"$dir/request"
	if [ "$2" = chunked ]; then # two chunks, split inside the key
		printf 'Transfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n' \
		    9 "$(echo "$3" | cut -c 1-9)" >>"$dir/request"
		printf '%x\r\n%s\r\n0\r\n\r\n' $((${#3} - 9)) \
		    "$(echo "$3" | cut -c 10-)" >>"$dir/request"
	else
		printf 'Content-Length: %d\r\n\r\n%s' ${#3} "$3" >>"$dir/request"
	fi
	"$bin/tests/standin_raw" "$(callers "$1")" <"$dir/request"
}

# expect_answer WORD NAME: the last answer contains WORD.
expect_answer() {
	grep -qa "$1" "$dir/answer" ||
	    fail "$2: expected $1, found $(head -c 200 "$dir/answer")"
}

new_secret
start_store
start_backend 1 prenota-1 v1
start_backend 2 prenota-2 v1
host_settings 1 milano-1 milano milano-a
host_settings 2 milano-2 milano milano-b
start_host 1
start_host 2
cat >"$dir/text.ini" <<END
[fleet]
hosts = 2
lookup_ttl_sec = 1
[region milano]
[domain milano-a]
region = milano
[domain milano-b]
region = milano
[service prenota]
version = v1
[route seats]
service = prenota
prefix = /
access = keyed
idempotent = no
[endpoint prenota-1]
service = prenota
domain = milano-a
address = 127.0.0.1:$((base + 101))
slots = 3
[endpoint prenota-2]
service = prenota
domain = milano-b
address = 127.0.0.1:$((base + 102))
slots = 3
[workspace sera]
rate = 100
burst = 100
END
wait_until 15 ggl 1 apply "$dir/text.ini" --wait 10 || fail "apply"
for n in 1 2; do wait_until 15 serving $n || fail "host $n does not serve"; done
ggl 1 key issue sera --wait 10 >"$dir/issued" 2>&1 || fail "key issue"
key=$(grep -o 'ggl_[A-Za-z0-9_-]*' "$dir/issued" | head -n 1)
rm "$dir/issued"
[ ${#key} -eq 47 ] || fail "no key was issued"
escaped=$(echo "$key" | sed 's/^ggl/%67gl/')

for n in 1 2; do
	send_request $n POST /call/prenota/seat "Authorization: Bearer $key" \
	    "Idempotency-Key: $n" >"$dir/answer"
	expect_answer '200 OK' "keyed request"
	while read -r target header; do
		send_request $n POST "$target" "Authorization: Bearer $key" \
		    "$header" >"$dir/answer"
		expect_answer key-in-request "$target $header"
	done <<END
/call/prenota/$key X-A: 1
/call/prenota/$escaped X-A: 1
/call/prenota/seat?k=$key X-A: 1
/call/prenota/seat X-A: $key
/call/prenota/seat X-$key: 1
/call/prenota/seat Cookie: k=$key
/call/prenota/seat Idempotency-Key: $key
END
	for coding in whole chunked; do
		send_body $n $coding "a=1&k=$key" >"$dir/answer"
		expect_answer key-in-request "key in a body, $coding"
		send_body $n $coding "a=1&k=no-key-here" >"$dir/answer"
		expect_answer '200 OK' "a body without a key, $coding"
	done
	send_request $n POST /call/prenota/seat "Authorization : Bearer $key" \
	    >"$dir/answer"
	expect_answer '400 ' "space before the colon"
	send_request $n POST /call/prenota/seat "Authorization: Bearer $key" \
	    "authorization: Bearer $key" >"$dir/answer"
	expect_answer '400 ' "two keys"
	# Bytes that would end a log line, raw and percent-encoded.
	send_request $n GET '/call/x%0Alevel=error%20event=forged/' >"$dir/answer"
	send_request $n GET '/lookup/x%0Alevel=error%20event=forged' >"$dir/answer"
	printf 'GET /call/x\nlevel=error event=forged HTTP/1.1\r\n\r\n' |
	    "$bin/tests/standin_raw" "$(callers $n)" >"$dir/answer"
	"$bin/tests/standin_get" "$(operators $n)" /metrics >"$dir/metrics_$n"
	kill -USR1 "$(pid host_$n)"
	wait_until 5 grep -q '"keys":1' "$dir/host_$n.log" || fail "no dump"
	"$bin/src/cmd/greengageloom" --secret-file "$dir/secret" \
	    dump "127.0.0.1:$((base + 20 + n))" >"$dir/dump_$n" 2>&1 ||
	    fail "dump: $(cat "$dir/dump_$n")"
done
ggl 1 status --json >"$dir/status" 2>&1 || fail "status"

# The log holds log lines and the single line of the dump, nothing else.
for n in 1 2; do
	grep -q 'event=request.refused' "$dir/host_$n.log" ||
	    fail "no refusal was logged: the search below would prove nothing"
	! grep -a 'event=forged' "$dir/host_$n.log" | grep -qav 'x0a\|%0A' ||
	    fail "a log line was forged"
	! grep -qav '^time=\|^ts=\|^{' "$dir/host_$n.log" ||
	    fail "not a log line: $(grep -av '^time=\|^ts=\|^{' \
	        "$dir/host_$n.log" | head -n 1)"
done
grep -q '^run' "$dir/runs.log" || fail "no request ran"
! grep -q '^key-seen' "$dir/runs.log" || fail "a backend server saw a key"
# Self-check: the stand-in detects a key that is sent to it.
mv "$dir/runs.log" "$dir/runs_before.log"
printf 'GET /x HTTP/1.1\r\nHost: a\r\nConnection: close\r\nCookie: k=%s\r\n\r\n' \
    "$key" | "$bin/tests/standin_raw" "127.0.0.1:$((base + 101))" >/dev/null
grep -q '^key-seen' "$dir/backend_1.log" "$dir/runs_before.log" ||
    fail "the stand-in does not detect a key"
rm -f "$dir/request" "$dir/answer"
# Self-check: the search finds a key that is there.
echo "X-A: $key" >"$dir/planted"
grep -rqa -- "${key#ggl_}" "$dir" ||
    fail "the search does not find a key that is there"
rm "$dir/planted"
# Searches for the random part, so that an escaped prefix cannot hide the key.
if grep -rqa -- "${key#ggl_}" "$dir"; then
	fail "the key was found in $(grep -rla -- "${key#ggl_}" "$dir")"
fi
secret=$(cat "$dir/secret")
rm "$dir/secret"
! grep -rqa -- "$secret" "$dir" || fail "the fleet secret was written"
for n in 1 2; do
	finish host_$n TERM
	[ "$status" -eq 0 ] || fail "host $n ended with $status"
done
echo "test_secrets: no key in logs, dumps, counters and backend servers"
