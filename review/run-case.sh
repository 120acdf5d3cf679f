#!/bin/sh
# run-case.sh N TROUBLE RECORD: runs case N in the repository's root, with a
# scratch folder for settings and logs, and writes what it records to RECORD.
# Exits with 1 if the rule was broken, 0 if it held, 2 if it couldn't run.
set -u
review=$(cd "$(dirname "$0")" && pwd)
case=$review/build/case-$1
if [ ! -x "$case" ]; then
	echo "could not run: review/build.sh comes first" | tee "$3" >&2
	exit 2
fi
scratch=$(mktemp -d) || exit 2
pid=
# The hosts end with the process that started them.
trap 'rm -rf "$scratch"' EXIT
trap '[ -z "$pid" ] || kill "$pid"; exit 2' INT TERM HUP
cd "$review/.." || exit 2
timeout -k 5 115 "$case" "$scratch" "$2" >"$3" &
pid=$!
wait "$pid"
status=$?
pid=
[ "$status" -le 2 ] || status=2
exit "$status"
