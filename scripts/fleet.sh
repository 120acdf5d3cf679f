# Shell functions that run stand-ins and entry hosts on loopback. The caller
# sets bin (build folder), dir (scratch folder) and base (first port). Only
# processes started by these functions are ended, each by its process id.
# shellcheck shell=sh

pids=

# Fleets on the same ports run one after another. The lock is released when the
# last process that has descriptor 9 open exits.
exec 9>"${TMPDIR:-/tmp}/greengageloom-fleet-$base.lock"
flock -w 280 9 || { echo "another fleet uses the ports from $base on"; exit 1; }

# start NAME COMMAND...: runs a command in the background; sets pid_NAME to its
# process id.
start() {
	name=$1
	shift
	"$@" >>"$dir/$name.log" 2>&1 9>&- &
	eval "pid_$name=$!"
	pids="$pids $!"
}

# pid NAME: prints the process id of a started command.
pid() {
	eval "echo \$pid_$1"
}

# finish NAME SIGNAL: sends the signal and waits for the process; sets status to
# its exit status.
finish() {
	p=$(pid "$1")
	kill "-$2" "$p" 2>/dev/null || true
	status=0
	wait "$p" 2>/dev/null || status=$?
	pids=$(echo "$pids" | sed "s/ $p\$//; s/ $p / /")
}

stop_all() {
	for p in $pids; do
		kill -CONT "$p" 2>/dev/null || true
		kill -KILL "$p" 2>/dev/null || true
	done
	for p in $pids; do
		wait "$p" 2>/dev/null || true
	done
	pids=
}

store_port=$((base))
store_address=127.0.0.1:$store_port

start_store() {
	start store "$bin/tests/standin_store" "$store_port"
}

# store_control QUERY: controls the store stand-in, such as mode=down.
store_control() {
	"$bin/tests/standin_get" "$store_address" "/control?$1" >/dev/null
}

# start_backend N NAME VERSION [SLOTS [HOLD_MS]]: starts a backend server on
# port base + 100 + N.
start_backend() {
	start "backend_$1" "$bin/tests/standin_backend" \
	    --port $((base + 100 + $1)) --name "$2" --version-name "$3" \
	    --slots "${4:-3}" --hold "${5:-5}" --log "$dir/runs.log"
}

# host_settings N ID REGION DOMAIN: writes the settings file of host N.
host_settings() {
	cat >"$dir/host_$1.ini" <<END
[host]
id = $2
region = $3
failure_domain = $4
callers = 127.0.0.1:$((base + 10 + $1))
rpc = 127.0.0.1:$((base + 20 + $1))
operators = 127.0.0.1:$((base + 30 + $1))
drain_sec = 10
[store]
address = $store_address
mark_sec = ${mark_sec:-3600}
[fleet]
secret_file = $dir/secret
[log]
level = ${log_level:-info}
END
}

# start_host N
start_host() {
	start "host_$1" "$bin/src/cmd/greengageloomd" \
	    --config "$dir/host_$1.ini"
}

callers() {
	echo "127.0.0.1:$((base + 10 + $1))"
}

operators() {
	echo "127.0.0.1:$((base + 30 + $1))"
}

new_secret() {
	head -c 24 /dev/urandom | od -An -tx1 | tr -d ' \n' >"$dir/secret"
}

# ggl N ARGS...: runs the operators' command against host N.
ggl() {
	n=$1
	shift
	"$bin/src/cmd/greengageloom" --secret-file "$dir/secret" \
	    --host "127.0.0.1:$((base + 20 + n))" "$@"
}

# wait_until SECONDS COMMAND...: repeats the command until it succeeds; fails
# after about SECONDS.
wait_until() {
	tries=$(($1 * 10))
	shift
	while [ "$tries" -gt 0 ]; do
		"$@" >/dev/null 2>&1 && return 0
		sleep 0.1
		tries=$((tries - 1))
	done
	return 1
}

# serving N: succeeds if host N serves with a configuration.
serving() {
	"$bin/tests/standin_get" "$(operators "$1")" /healthz | grep -q serving
}

# metric N NAME: prints the value of a metric of host N.
metric() {
	"$bin/tests/standin_get" "$(operators "$1")" /metrics |
	    sed -n "s/^greengageloom_$2 //p"
}

# fill FILE: prints a configuration with each PORT+N replaced by a port.
fill() {
	awk -v first=$((base + 100)) '{
		if (match($0, /PORT\+[0-9]+/)) {
			n = substr($0, RSTART + 5, RLENGTH - 5)
			sub(/PORT\+[0-9]+/, first + n)
		}
		print
	}' "$1"
}

# field NAME CALLER: prints a count from the last line of a caller's log.
field() {
	tail -n 1 "$dir/caller_$2.log" | tr ' ' '\n' | sed -n "s/^$1=//p"
}
