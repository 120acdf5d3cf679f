# The scenes of a deployment: callers load a fleet while an event takes place,
# such as the stop of a host; rollouts and a drain run in parallel. Sourced by
# scripts/bench, whose functions it uses.
# shellcheck shell=sh

# choice N SERVICE: prints the arguments by which caller N chooses hosts: at
# random (policy baseline) or by look-up from region (N - 1) % 3 + 1.
choice() {
	if [ "$policy" = baseline ]; then
		echo --random
	else
		echo "--lookup $2?region=r$((($1 - 1) % 3 + 1))"
	fi
}

all_hosts() {
	for n in $(seq $hosts); do callers "$n"; done | paste -s -d ,
}

# scene NAME SERVICE [FLOODING]: all workspaces send for scene_sec seconds. The
# hook `during` runs one second after the start. FLOODING is the number of a
# workspace that sends at flood_rate.
scene() {
	for w in $(seq $workspaces); do
		r=$send_rate
		[ "$w" != "${3:-}" ] || r=$flood_rate
		# shellcheck disable=SC2046
		start "caller_$w" timeout $((scene_sec + 20)) \
		    "$bin/tests/standin_caller" --to "$(all_hosts)" \
		    $(choice "$w" "$2") \
		    --path "/call/$2/x" --method POST --rate $r --at-once 32 \
		    --count $((r * scene_sec)) --key-file "$dir/key_$w"
	done
	sleep 1
	during
	for w in $(seq $workspaces); do reap "caller_$w"; done
	report_scene "$1" "${3:-0}"
	sleep 1
}

# reasons NAME: reads callers' output from standard input and prints the number
# of refused tries for each reason.
reasons() {
	awk '$1 == "reason" { n[$2] += $3 } END { for (r in n) print r, n[r] }' |
	    while read -r reason times; do
		row "$1: tries refused, reason $reason" "$times" tries
	done
}

# report_scene NAME FLOODING: reports a scene from the last lines of the
# callers' logs. The counts of the flooding workspace (0: none) are kept apart.
report_scene() {
	for w in $(seq $workspaces); do
		[ "$w" != "$2" ] || continue
		tail -n 1 "$dir/caller_$w.log" | tr '=' ' '
	done | awk '{
		sent += $2; answered += $4; refused += $6; unknown += $8
		part = $2 > 0 ? 100 * $4 / $2 : 0
		if (NR == 1 || part < worst) worst = part
	} END {
		if (sent > 0)
			printf "%.2f %.2f %.2f %d\n", worst, \
			    100 * refused / sent, 100 * unknown / sent, sent
	}' >"$dir/scene"
	read -r worst refused unknown sent <"$dir/scene" || true
	row "$1: requests inside the rate" "$sent" requests
	row "$1: worst-served workspace, answered" "$worst" %
	row "$1: refused though inside the rate" "$refused" %
	row "$1: unknown" "$unknown" %
	for w in $(seq $workspaces); do
		[ "$w" != "$2" ] || continue
		cat "$dir/caller_$w.log"
		: >"$dir/caller_$w.log"
	done | reasons "$1"
	[ "$2" = 0 ] || {
		row "$1: answered to the flooding one" \
		    "$(field answered "$2")" requests
		: >"$dir/caller_$2.log"
	}
}

# since MS: prints the seconds since a time in ms.
since() {
	calc "($(date +%s%3N) - $1) / 1000"
}

# load_step NAME SERVICE PERCENT SLOTS: callers of three regions together offer
# PERCENT of the load that the slots can serve. Writes the percentage actually
# offered, the percentage refused and the p99 latency to $dir/step. The timer of
# one caller can send 200 requests per second.
load_step() {
	wanted=$(($4 * 1000 / hold_ms * $3 / 100))
	count=$(((wanted + 599) / 600 * 3))
	rate_of_one=$((wanted / count))
	began=$(date +%s%3N)
	rm -f "$dir"/step_*
	for c in $(seq "$count"); do
		# shellcheck disable=SC2046
		start "caller_s$c" timeout 30 "$bin/tests/standin_caller" \
		    --to "$(all_hosts)" $(choice "$c" "$2") \
		    --path "/call/$2/open" --rate $rate_of_one --at-once 200 \
		    --count $((rate_of_one * 2)) --log "$dir/step_$c"
	done
	for c in $(seq "$count"); do reap "caller_s$c"; done
	took=$(since "$began")
	cat "$dir"/step_* | awk -v slots="$4" -v took="$took" \
	    -v hold="$hold_ms" '{
		n++
		if ($1 == "answered") {
			answered++
			ms[$NF]++
			if ($NF > most) most = $NF
		}
	} END {
		for (p99 = 0; p99 < most; p99++) {
			seen += ms[p99]
			if (seen >= 0.99 * answered) break
		}
		printf "%.1f %.2f %d\n", n / took / slots * hold / 10, \
		    (n > 0 ? 100 * (n - answered) / n : 100), p99
	}' >"$dir/step"
}

# headroom NAME SERVICE SLOTS: raises the offered load in steps until refusals
# exceed 1 % or the p99 latency exceeds five hold times.
headroom() {
	carried=0
	for part in 50 65 80 90 100; do
		load_step "$1" "$2" $part "$3"
		read -r offered refused p99 <"$dir/step"
		row "$1, load of $part % of the slots: offered in fact" \
		    "$offered" %
		row "$1, load of $part % of the slots: refused" "$refused" %
		row "$1, load of $part % of the slots: p99" "$p99" ms
		cat "$dir"/caller_s*.log |
		    reasons "$1, load of $part % of the slots"
		rm -f "$dir"/caller_s*.log
		if [ "$(calc "$refused <= 1 && $p99 <= 5 * $hold_ms")" = 0 ]
		then
			break
		fi
		carried=$offered
	done
	row "$1, headroom: load with 1 % refused and p99 of 5 holds at most" \
	    "$carried" %
}

# Stops host 5 with SIGTERM; it is started again after the scene.
stop_host() {
	began=$(date +%s%3N)
	finish host_5 TERM
	echo "$(since "$began") $status" >"$dir/stopped"
}

# Kills the hosts and the backend servers of the first failure domain.
kill_domain() {
	for n in $(seq 1 6 "$backends"); do finish "backend_$n" KILL; done
	for n in $(seq 1 6 $hosts); do finish "host_$n" KILL; done
}

# scenes NAME SERVICE:SLOTS: runs the scenes after which the fleet is complete
# again.
scenes() {
	during() { :; }
	scene "$1, all well" "${2%:*}"
	scene "$1, one workspace at five times its rate" "${2%:*}" 1
	headroom "$1" "${2%:*}" "${2#*:}"
	during() { stop_host; }
	scene "$1, a host told to stop" "${2%:*}"
	read -r took status <"$dir/stopped"
	row "$1, a host told to stop: until its end" "$took" s
	row "$1, a host told to stop: exit status" "$status" -
	start_host 5
	wait_until 15 serving 5 || row "$1: host did not start again" 1 -
}

# last_scenes NAME SERVICE: runs the scenes with faults. The store is
# unreachable from 4 s before the load until the load has ended.
last_scenes() {
	during() { :; }
	store_control mode=down
	sleep 4
	scene "$1, store down" "$2"
	store_control mode=ok
	sleep 2
	during() { kill_domain; }
	scene "$1, a failure domain down" "$2"
}

# admitted N OUTPUT ARGS...: like ggl, but retries while host N may not write
# yet. Output goes to $dir/OUTPUT.
admitted() {
	n=$1 output=$2
	shift 2
	for left in $(seq 20); do
		status=0
		ggl "$n" "$@" >"$dir/$output" 2>&1 || status=$?
		grep -q "not yet known" "$dir/$output" || return 0
		sleep 0.5
	done
}

# move_callers TAG SERVICE: starts callers of the service's open route in each
# region. Their counts show which requests failed because of the rollout.
move_callers() {
	for r in 1 2 3; do
		# shellcheck disable=SC2046
		start "caller_$1$r" timeout 90 "$bin/tests/standin_caller" \
		    --to "$(all_hosts)" $(choice $r "$2") \
		    --path "/call/$2/open" --rate $move_rate \
		    --count $((move_rate * move_sec)) --at-once 50
	done
}

# largest_share SERVICE: prints the largest share of the next version in any 100
# consecutive runs of the service, in percent.
largest_share() {
	grep "^run $1-" "$dir/runs.log" | awk '{
		is_next = /-next-/
		n += is_next - ring[NR % 100]
		ring[NR % 100] = is_next
		if (n > most) most = n
	} END { print most + 0 }'
}

# rollout NAME HOST SERVICE WORD: rolls out the next version; WORD is the
# expected result.
rollout() {
	began=$(date +%s%3N)
	admitted "$2" "moved_$3" rollout "$3" --to v2 --within $within_sec \
	    --wait 60
	took=$(since "$began")
	row "$1: $4" "$(grep -c "$4" "$dir/moved_$3" || true)" -
	id=$(grep -o '[0-9a-f]\{16\}' "$dir/moved_$3" | head -n 1)
	row "$1: late" "$(ggl "$2" status --json | tr '{' '\n' |
	    grep "\"move\":\"$id\"" | grep -c '"late":true' || true)" -
	row "$1: time to its end, of $within_sec s" "$took" s
}

# drain NAME ENDPOINT: drains an endpoint and counts the runs there in the 2 s
# after the drain.
drain() {
	began=$(date +%s%3N)
	admitted 6 drained drain "$2" --wait 20
	row "$1, drain of an endpoint: until done" "$(since "$began")" s
	before=$(grep -c "^run $2 " "$dir/runs.log" || true)
	sleep 2
	row "$1, drain of an endpoint: runs in 2 s after" \
	    $(($(grep -c "^run $2 " "$dir/runs.log") - before)) requests
}

# moves NAME BAD GOOD: rolls out a bad version of service BAD, then a good
# version of service GOOD while an endpoint of BAD is drained.
moves() {
	rollout "$1, rollout of a bad version" 3 "$2" taken.back
	row "$1, rollout of a bad version: largest share of 100 runs" \
	    "$(largest_share "$2")" %
	drain "$1" "$2-1" >"$dir/drain" &
	draining=$!
	rollout "$1, rollout of a good version" 4 "$3" done
	wait "$draining"
	cat "$dir/drain"
}

# hurt NAME TAG: waits for the callers of a rollout and reports how many of
# their requests were refused or ended as unknown.
hurt() {
	sent=0 bad=0
	for r in 1 2 3; do
		reap "caller_$2$r"
		sent=$((sent + $(field sent "$2$r")))
		bad=$((bad + $(field unknown "$2$r") +
		    $(field refused_not_run "$2$r")))
	done
	row "$1: requests" $sent requests
	row "$1: requests hurt" $bad requests
}

# begin_moves NAME BAD GOOD: starts the moves in the background; end_moves waits
# for them. Backend servers of BAD's next version fail half of their requests.
begin_moves() {
	for n in $(seq "$backends"); do
		grep -q "^$2-next-" "$dir/backend_$n.name" || continue
		"$bin/tests/standin_get" "127.0.0.1:$((base + 100 + n))" \
		    "/control?fail_permille=500" >/dev/null
	done
	move_callers bad "$2"
	move_callers good "$3"
	moves "$@" >"$dir/moves" 9>&- &
	pid_moves=$!
	pids="$pids $pid_moves"
}

end_moves() {
	reap moves
	cat "$dir/moves"
	hurt "$1, rollout of a bad version" bad
	hurt "$1, rollout of a good version" good
}
