#!/bin/sh
# run-case.sh FOLDER: runs the case of a folder of review/ and writes its
# record.txt. Exits with 1 if the rule was broken, 0 if it held, 2 if the case
# couldn't run.
set -u
root=$(cd "$(dirname "$0")/.." && pwd)
folder=$(cd "$1" && pwd)
case=$root/review/build/case-$(basename "$folder")
if [ ! -x "$case" ]; then
	echo "run review/build.sh first"
	exit 2
fi
scratch=$(mktemp -d)
trap 'rm -rf "$scratch"' EXIT
cd "$root" || exit 2
timeout -k 5 115 "$case" "$scratch" "$folder/record.txt"
status=$?
# The case ends its hosts itself; this catches those of one that was killed.
for settings in "$scratch"/*.ini; do
	[ -f "$settings" ] || continue
	pids=$(pgrep -f "greengageloomd -c $settings") || continue
	# shellcheck disable=SC2086
	kill -KILL $pids
done
[ "$status" -le 2 ] || status=2
exit "$status"
