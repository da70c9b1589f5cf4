# Functions to run a small fleet of real processes on the loopback address.
# To be sourced from the top of the repository.  The processes are killed, by
# their ids, when the script ends.
#
#	KEY=key-brno			the API key that ready() sends
#	fleet_init
#	platform_start FILE
#	daemon_start 1 plzen		daemon number 1 in data centre plzen
#	target_start 1 records --slots 4
#	ready 1 /records/1		wait until daemon 1 serves a path
#
# The platform stand-in listens on PORT_BASE.  Daemon NUMBER and the target
# beside it listen on PORT_BASE + 10 * NUMBER and the next ports: 0 for the
# link, 1 for callers, 2 for operators, 3 for the target.  With the users'
# interfaces, which users_daemon_start and server_start use, 4 is for the
# announcements of the target and 5 for readiness.
#
# The work directory DIR holds secret, daemonN.ini, the logs *.err, and runs,
# to which each target appends the calls that it runs.

PORT_BASE=${PORT_BASE:-17000}
B=${B:-target}
PIDS=

fleet_init () {
	DIR=$(mktemp -d)
	head -c 48 /dev/urandom >"$DIR/secret"
	trap fleet_stop EXIT
	trap 'exit 130' INT TERM
}

fleet_stop () {
	for pid in $PIDS
	do
		kill -CONT "$pid" 2>/dev/null || :
		kill -KILL "$pid" 2>/dev/null || :
	done
	wait 2>/dev/null || :
	rm -rf "$DIR"
}

# port NUMBER OFFSET
port () {
	echo $((PORT_BASE + 10 * $1 + $2))
}

# Store the id of the last background process in a variable, and kill the
# process when the script ends: save_pid VARIABLE
save_pid () {
	PIDS="$PIDS $!"
	eval "$1=$!"
}

# platform_start FILE: with the operators' configuration from FILE
platform_start () {
	"$B/standin-platform" --port "$PORT_BASE" --config "$1" \
		2>>"$DIR/platform.err" &
	save_pid PLATFORM_PID
	wait_http "$PORT_BASE" "/-/stats"
}

# platform_mode MODE [MS]: see standin-platform.c
platform_mode () {
	get "$PORT_BASE" "/-/mode?mode=$1&ms=${2:-500}" >/dev/null
}

# daemon_start NUMBER DATACENTRE [SETTINGS]: SETTINGS are further lines.
# LINK_OFFSET and PLATFORM_PORT, if set, make it advertise another port for
# its link and reach the platform through another port, for a proxy.
daemon_start () {
	cat >"$DIR/daemon$1.ini" <<-EOF
	[daemon]
	datacentre = $2
	secret-file = $DIR/secret
	link = 127.0.0.1:$(port "$1" "${LINK_OFFSET:-0}")
	callers = 127.0.0.1:$(port "$1" 1)
	operators = 127.0.0.1:$(port "$1" 2)
	platform = 127.0.0.1:${PLATFORM_PORT:-$PORT_BASE}
	$3
	EOF
	daemon_run "$1"
}

# daemon_run NUMBER: start a daemon with the settings file that it has
daemon_run () {
	"$B/cranberrywayd" --settings "$DIR/daemon$1.ini" \
		>>"$DIR/daemon$1.err" 2>&1 &
	save_pid "DAEMON_PID_$1"
	wait_http "$(port "$1" 2)" /status
}

# daemon_kill NUMBER: kill a daemon and wait until it has ended, so that its
# ports are free
daemon_kill () {
	eval "pid=\$DAEMON_PID_$1"
	kill -KILL "$pid"
	wait "$pid" 2>/dev/null || :
}

# daemon_restart NUMBER: kill a daemon and start it again
daemon_restart () {
	daemon_kill "$1"
	daemon_run "$1" || fail "daemon $1 does not start"
}

# target_start NUMBER SERVICE [options of standin-target]
target_start () {
	number=$1
	name=$2
	shift 2
	"$B/standin-target" --port "$(port "$number" 3)" --service "$name" \
		--callers "$(port "$number" 1)" \
		--operators "$(port "$number" 2)" \
		--log "$DIR/runs" "$@" 2>>"$DIR/target$number.err" &
	save_pid "TARGET_PID_$number"
	wait_http "$(port "$number" 3)" "/-/stats"
}

# target_mode NUMBER MODE [MS]: see standin-target.c
target_mode () {
	get "$(port "$1" 3)" "/-/mode?mode=$2&ms=${3:-100}" >/dev/null
}

# users_platform_start [options of standin-platform]: without a configuration
users_platform_start () {
	"$B/standin-platform" --port "$PORT_BASE" "$@" \
		2>>"$DIR/platform.err" &
	save_pid PLATFORM_PID
	wait_http "$PORT_BASE" "/-/stats"
}

# users_daemon_start NUMBER DATACENTRE SERVICE: with the settings that the
# users' platform fills in
users_daemon_start () {
	sed -e "s/{{#zones}}{{@}} = {{.}}/$2 = region/" -e 's/{{\/zones}}//' \
		-e "s/{{zone}}/$2/" -e 's/{{region}}/region/' \
		-e "s/{{upstream}}/$3/" \
		-e "s/{{ip}}:{{port_range.0}}/127.0.0.1:$(port "$1" 0)/" \
		-e "s/{{listen.outbound}}/127.0.0.1:$(port "$1" 1)/" \
		-e "s/{{ip}}:{{port_range.1}}/127.0.0.1:$(port "$1" 2)/" \
		-e "s/{{app}}/127.0.0.1:$(port "$1" 3)/" \
		-e "s/{{listen.control}}/127.0.0.1:$(port "$1" 4)/" \
		-e "s/{{listen.ready}}/127.0.0.1:$(port "$1" 5)/" \
		-e "s/{{provider.address}}/127.0.0.1:$PORT_BASE/" \
		-e 's/{{bounds.revoke_s}}/5/' -e 's/{{bounds.grace_s}}/6/' \
		-e 's/{{limits.memory_mb}}/260/' \
		deploy/daemon.ini >"$DIR/daemon$1.ini"
	if grep '{{' "$DIR/daemon$1.ini" >&2
	then
		echo "deploy/daemon.ini has a setting without a value" >&2
		return 1
	fi
	daemon_run "$1"
}

# server_start NUMBER DATACENTRE SERVICE ID [options of standin-server]: a
# target that announces itself to daemon NUMBER in the users' manner
server_start () {
	number=$1 zone=$2 name=$3 id=$4
	shift 4
	"$B/standin-server" --port "$(port "$number" 3)" --service "$name" \
		--id "$id" --zone "$zone" --announce "$(port "$number" 4)" \
		--log "$DIR/runs" "$@" 2>>"$DIR/target$number.err" &
	save_pid "TARGET_PID_$number"
	wait_http "$(port "$number" 3)" "/-/stats"
}

# server_mode NUMBER MODE: see standin-server.c
server_mode () {
	get "$(port "$1" 3)" "/-/mode?mode=$2" >/dev/null
}

# server_arrived NUMBER: how many requests a server has got
server_arrived () {
	get "$(port "$1" 3)" "/-/stats" | sed -n 's/^arrived //p'
}

# get PORT PATH [curl options]: print the body of a response
get () {
	p=$1 u=$2
	shift 2
	curl -s --max-time 20 "$@" "http://127.0.0.1:$p$u"
}

# wait_http PORT PATH: wait until the port answers an HTTP request
wait_http () {
	for i in $(seq 200)
	do
		get "$1" "$2" -o /dev/null && return 0
		sleep 0.05
	done
	echo "no HTTP response on port $1 after 200 requests" >&2
	return 1
}

# ready NUMBER PATH: wait until a call through a daemon gets status 200
ready () {
	for i in $(seq 50)
	do
		code=$(get "$(port "$1" 1)" "$2" -o /dev/null \
			-w '%{http_code}' -H "Authorization: Bearer $KEY")
		test "$code" = 200 && return 0
		sleep 0.1
	done
	echo "daemon $1 does not serve $2: last status $code" >&2
	return 1
}

# status NUMBER: metrics of a daemon as "name value" lines
status () {
	"$B/cranberryway" status --porcelain --daemon "127.0.0.1:$(port "$1" 2)"
}

# counter NUMBER NAME: the value of one metric of a daemon
counter () {
	status "$1" | sed -n "s/^$2 //p"
}

# check_ids OUTCOMES: check the outcome log of standin-caller against the runs
# of the targets.  No id ran more than once; one with the outcome "whole" ran
# once; one whose every try was refused as not run did not run.
check_ids () {
	awk '
		FILENAME ~ /runs$/ { runs[$2]++; next }
		{ verdict[$1] = $2 }
		END {
			for (id in runs)
				if (runs[id] > 1) {
					print "ran", runs[id], "times:", id
					bad++
				}
			for (id in verdict) {
				n++
				if (verdict[id] == "not_run" && runs[id] > 0) {
					print "reported as not run, but ran:", id
					bad++
				}
				if (verdict[id] == "whole" && runs[id] != 1) {
					print "succeeded, but ran", runs[id] + 0, "times:", id
					bad++
				}
				count[verdict[id]]++
			}
			for (v in count)
				print "ids", v, count[v]
			if (n == 0)
				bad = 1
			exit bad > 0
		}' "$DIR/runs" "$1"
}

# memory_peak NUMBER: the most memory that a daemon has used, in kB
memory_peak () {
	eval "pid=\$DAEMON_PID_$1"
	sed -n 's/^VmHWM:[^0-9]*\([0-9]*\).*/\1/p' "/proc/$pid/status"
}

# socket_bytes PORT: what the system keeps in the sockets of a port, in kB:
# received and not read, or sent and not acknowledged
socket_bytes () {
	awk -v port="$(printf ':%04X$' "$1")" '
		function hex(s,    i, n) {
			for (i = 1; i <= length(s); i++)
				n = 16 * n + index("0123456789ABCDEF",
				    substr(s, i, 1)) - 1
			return n
		}
		$2 ~ port {
			split($5, queue, ":")
			sum += hex(queue[1]) + hex(queue[2])
		}
		END { printf "%d\n", sum / 1024 }' /proc/net/tcp
}

# descriptor_count NUMBER: the descriptors that a daemon has open
descriptor_count () {
	eval "pid=\$DAEMON_PID_$1"
	ls "/proc/$pid/fd" | wc -l
}

# setting_if_known NAME VALUE: a line for daemon_start, unless the daemon is of
# a version that does not have the setting
setting_if_known () {
	"$B/cranberrywayd" --describe | grep -q "^$1 " && echo "$1 = $2" || :
}

# crowd_start [options of standin-crowd]: returns once the crowd has settled
crowd_start () {
	"$B/standin-crowd" --key "$KEY" "$@" >"$DIR/crowd" 2>&1 &
	save_pid CROWD_PID
	for i in $(seq 600)
	do
		grep -q settled "$DIR/crowd" && return 0
		kill -0 "$CROWD_PID" 2>/dev/null || return 0
		sleep 0.1
	done
	echo "the crowd has not settled" >&2
	return 1
}

# calls_end NUMBER: wait until a daemon has no call in progress
calls_end () {
	for i in $(seq 300)
	do
		test "$(counter "$1" calls_now)" = 0 && return 0
		sleep 0.1
	done
	echo "daemon $1 still has calls" >&2
	return 1
}

# crowd_stop: end the crowd and print what it got
crowd_stop () {
	kill "$CROWD_PID" 2>/dev/null || :
	wait "$CROWD_PID" 2>/dev/null || :
	cat "$DIR/crowd"
}

# crowd_count STATUS: how many responses of the crowd had this status
crowd_count () {
	n=$(sed -n "s/^status $1 //p" "$DIR/crowd")
	echo "${n:-0}"
}

# ordinary_call NUMBER PATH: make one call; true if it succeeds at once
ordinary_call () {
	code=$(get "$(port "$1" 1)" "$2" -o /dev/null -w '%{http_code}' \
		-H "Authorization: Bearer $KEY") || :
	echo "an ordinary call gets $code"
	test "$code" = 200
}

fail () {
	echo "FAIL: $*"
	cat "$DIR"/*.err
	exit 1
}

# check_daemon NUMBER MEMORY_KB: the daemon lives and has stayed within its
# memory
check_daemon () {
	eval "pid=\$DAEMON_PID_$1"
	kill -0 "$pid" || fail "daemon $1 ended"
	peak=$(memory_peak "$1")
	echo "daemon $1: peak $peak kB of $2"
	test "$peak" -lt "$2" || fail "daemon $1 used $peak kB of $2"
}

# Memory that a daemon gets in the tests of clients that do not behave.
MEMORY_MB=96
MEMORY_KB=$((MEMORY_MB * 1000 * 1000 / 1024))

# small_fleet [SETTINGS]: two daemons with little memory, a target beside each
small_fleet () {
	# The sanitizers keep freed memory for some time.
	ASAN_OPTIONS=quarantine_size_mb=1:allocator_release_to_os_interval_ms=0
	export ASAN_OPTIONS
	fleet_init
	sed 's/^rate = .*/rate = 100000/; s/^burst = .*/burst = 10000/' \
		Documentation/examples/association.ini >"$DIR/catalog.ini"
	platform_start "$DIR/catalog.ini"
	memory=$(setting_if_known memory-mb $MEMORY_MB)
	for n in 1 2
	do
		daemon_start $n plzen "$memory
$1"
	done
	target_start 1 records --slots 400
	target_start 2 certificates --slots 400
	ready 1 /records/1
	ready 1 /certificates/1
	ready 2 /certificates/1
}

# check_unread_crowd [options of standin-crowd]: such a crowd, whose calls end,
# at the second daemon of a small fleet and then at the first.  Both stay within
# their memory, and an ordinary caller is answered.
check_unread_crowd () {
	for n in 2 1
	do
		crowd_start --port "$(port $n 1)" "$@"
		calls_end $n
		ordinary_call $n /certificates/$n ||
			fail "an ordinary caller is not answered"
		check_daemon 1 $MEMORY_KB
		check_daemon 2 $MEMORY_KB
		crowd_stop
	done
}
