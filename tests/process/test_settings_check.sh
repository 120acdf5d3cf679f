#!/bin/sh
# greengageloomd --check: exit status 0 for valid settings, 2 for any error in
# the file or on the command line, which is reported on standard error.
# usage: test_settings_check.sh BUILD-DIR
set -eu
bin=$1
dir=$(mktemp -d)
base=22200
# shellcheck source=scripts/fleet.sh
. "$(dirname "$0")/../../scripts/fleet.sh"
trap 'rm -rf "$dir"' EXIT

# expect STATUS TEXT ARGS...: the output must contain TEXT.
expect() {
	want=$1 text=$2
	shift 2
	status=0
	timeout 10 "$bin/src/cmd/greengageloomd" "$@" >"$dir/out" 2>&1 ||
	    status=$?
	if [ "$status" -ne "$want" ] || ! grep -qF -e "$text" "$dir/out"; then
		echo "greengageloomd $*: status $status, expected $want, $text"
		cat "$dir/out"
		exit 1
	fi
}

host_settings 1 a r r-a
valid=$dir/host_1.ini
sed 's/^id = a$/id = a\nid = b\ncolour = red/; s/10$/ten/' \
    "$valid" >"$dir/wrong.ini"
head -c 70000 /dev/zero >"$dir/long.ini"

expect 0 "ok" --config "$valid" --check
expect 2 "wrong.ini:3: repeated key" --config "$dir/wrong.ini" --check
expect 2 "wrong.ini:4: unknown key" --config "$dir/wrong.ini" --check
expect 2 "drain_sec: expected" --config "$dir/wrong.ini" --check
expect 2 "wrong.ini:3: repeated key" --config "$dir/wrong.ini"
expect 2 "expected text of at most" --config "$dir/long.ini" --check
expect 2 "No such file" --config "$dir/none.ini" --check
expect 2 "--config is needed" --check
expect 2 "unknown option" --config "$valid" --check --bogus
expect 2 "unexpected argument" --config "$valid" --check more
expect 2 "--log-level" --config "$valid" --check --log-level loud
expect 2 "--listen: expected IP:PORT" --config "$valid" --check --listen here
expect 0 "greengageloomd" --version
