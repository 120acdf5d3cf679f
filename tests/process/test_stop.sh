#!/bin/sh
# A graceful stop under load cuts no request. Of two operators who apply on the
# same base version, one gets a conflict. A host that was down or paused takes
# up the newest version. While the store's answers are lost, the command
# reports the true result.
# usage: test_stop.sh BUILD-DIR
set -eu
base=22600
# shellcheck source=tests/process/fixture.sh
. "$(dirname "$0")/fixture.sh"

# version N: prints the configuration version that host N has in force.
version() {
	sed -n 's/.*event=config.in_force version=\([0-9]*\).*/\1/p' \
	    "$dir/host_$1.log" | tail -n 1
}

is_at_version() {
	[ "$(version "$1")" = "$2" ]
}

# write_config RATE: writes the configuration with another rate of its
# workspace.
write_config() {
	sed "s/^rate = .*/rate = $1/" "$dir/text.ini" >"$dir/text_$1.ini"
}

# start_apply NAME FILE ARGS...: applies in the background; the exit status
# goes to $dir/NAME.status.
start_apply() {
	who=$1 file=$2
	shift 2
	start "apply_$who" sh -c 'timeout 30 "$@"; echo $? >"$0"' \
	    "$dir/$who.status" "$bin/src/cmd/greengageloom" \
	    --secret-file "$dir/secret" "$@" apply "$file" --wait 15
}

# wait_apply NAME: waits for it and sets got to its exit status.
wait_apply() {
	wait "$(pid "apply_$1")" || true
	got=$(cat "$dir/$1.status")
}

start_fleet
issue_key good
# A host accepts operators' requests, and takes a slot, only after all hosts
# have acknowledged it.
for n in 1 2 3; do
	wait_until 10 grep -q event=slot.held "$dir/host_$n.log" ||
	    fail "host $n holds no slot"
done

# Two operators apply at the same time, based on the same version.
write_config 201
write_config 202
start_apply one "$dir/text_201.ini" --host "127.0.0.1:$((base + 21))" --base 1
start_apply two "$dir/text_202.ini" --host "127.0.0.1:$((base + 23))" --base 1
wait_apply one
both=$got
wait_apply two
both="$both $got"
case $both in
"0 4" | "4 0") ;;
*) fail "two operators: exit statuses $both: $(cat "$dir"/apply_*.log)" ;;
esac
wait_until 10 is_at_version 3 2 || fail "host 3 is at $(version 3), not 2"

# Answers of the store are lost while a configuration is applied.
write_config 203
store_control mode=lose
start_apply lost "$dir/text_203.ini" --host "127.0.0.1:$((base + 21))" --base 2
sleep 3
store_control mode=ok
wait_apply lost
lost=$got
wait_until 5 is_at_version 1 3 || true
case $lost in
0) is_at_version 1 3 || fail "said in force: $(cat "$dir/apply_lost.log")" ;;
1 | 4 | 5) ! is_at_version 1 3 || fail "in force, yet status $lost" ;;
3) ;; # "unknown" is correct in both cases
*) fail "status $lost: $(cat "$dir/apply_lost.log")" ;;
esac
echo "answers lost: status $lost, version $(version 1)"

# One host is down and one is paused while a version comes into force. Both
# take it up when they are back.
now=$(version 1)
kill -STOP "$(pid host_2)"
finish host_3 KILL
write_config 204
start_apply away "$dir/text_204.ini" --host "127.0.0.1:$((base + 21))" \
    --base "$now"
wait_until 10 is_at_version 1 $((now + 1)) || fail "host 1 is at $(version 1)"
kill -CONT "$(pid host_2)"
start_host 3
for n in 2 3; do
	wait_until 10 is_at_version $n $((now + 1)) ||
	    fail "host $n is at $(version $n), not $((now + 1))"
done
wait_apply away
sed -n 's/.*config.in_force version=\([0-9]*\).*/\1/p' "$dir/host_2.log" |
    sort -nc || fail "host 2 went back to an older version"
wait_until 15 accepts_key 2 good || fail "host 2 refuses"

# A host is stopped while slow requests run and new ones arrive.
start_caller slow "$(callers 2)" 3 100 --path /call/prenota/seat --method POST \
    --key-file "$dir/good" --fault late=2000 --tries 1 --at-once 3 --body s
start_caller load "$(callers 2),$(callers 1)" 150 50 --path /call/lettore/clip \
    --log "$dir/load.results"
sleep 0.5
finish host_2 TERM
[ "$status" -eq 0 ] || fail "the stopped host's exit status is $status"
wait_caller slow
wait_caller load
expect_count slow answered 3
expect_count load answered 150
