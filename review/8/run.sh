#!/bin/sh
# Exit status: 1 the rule was broken, 0 it held, 2 the case could not run.
# TROUBLE=0: the same without the disruption.
cd "$(dirname "$0")/../.." || exit 2
case=8
play=build/review-2/play-$case
[ -x "$play" ] && [ -x target/src/cmd/greengageloomd ] || exit 2
dir=$(mktemp -d) || exit 2
"$play" target/src/cmd/greengageloomd "$dir" "review/$case/record.txt" &
pid=$!
# The hosts end with the process that started them.
trap 'kill "$pid" 2>/dev/null; rm -rf "$dir"; exit 2' INT TERM
wait "$pid"
status=$?
if [ -n "${KEEP_LOGS:-}" ]; then
	echo "logs: $dir"
else
	rm -rf "$dir"
fi
[ "$status" -le 2 ] || status=2
exit "$status"
