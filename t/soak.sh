#!/bin/sh
# Soak test: random faults in a fleet of real processes under load.
#
#	SEED=7 SECONDS_LONG=30 FAULTS=40 sh t/soak.sh
#
# Five daemons run, each with one proxy before its link and one between it and
# the platform, and three targets.  Faults overlap: proxies delay, reset or
# discard data; processes are paused, killed, terminated in an orderly way and
# reloaded; the platform is down, is slow or loses responses.  Meanwhile some
# callers send bookings with ids, which they retry, and others send bookings
# without ids and without retries; all keep their connections open.
#
# Checked: no id runs twice; calls reported as not run did not run; responses
# belong to their own requests; no request takes much longer than its deadline;
# no daemon exits unless it is killed or terminated; a revoked key runs nothing;
# and after the faults all requests are served again within RECOVER_S.
#
# The seed determines the schedule of faults, the speed of the machine their
# timing.  Settings, by environment variables:
#
#	SEED		of the schedule, 1 by default
#	SECONDS_LONG	how long load is sent, 20 by default; faults start
#			within the first 70% of it
#	FAULTS		the number of faults, 30 by default
#	TIMES		0 leaves out the checks that a busy machine can fail:
#			how long requests take, and how many succeed afterwards
#	KEEP		a directory for the logs of a failed run
cd "$(dirname "$0")/.." || exit 128
. t/lib-fleet.sh
KEY=key-brno
SEED=${SEED:-1}
FIRST_SEED=$SEED
SECONDS_LONG=${SECONDS_LONG:-20}
FAULTS=${FAULTS:-30}
TIMES=${TIMES:-1}
# Until a lost daemon is noticed by its silence, each root is claimed by another
# daemon, and the earlier shares have expired.
RECOVER_S=10
DEADLINE_MS=2000
# How long after its deadline a response may come: daemons are paused for up
# to 4 s, and a busy machine adds to that.
MAX_DELAY_MS=5500
DAEMONS="1 2 3 4 5"
TARGETS="1 2 3"
PORT_BASE=${PORT_BASE:-21000}

# random N: a number below N from a linear congruential generator
random () {
	SEED=$(((SEED * 1103515245 + 12345) & 2147483647))
	echo $((SEED / 65536 % $1))
}

# random_seconds N: a time between 0.1 s and N tenths of a second
random_seconds () {
	t=$(random "$1")
	echo "$((t / 10)).$((t % 10 + 1))" | sed 's/\.10$/.9/'
}

# proxy_start NUMBER OFFSET TO: relay port OFFSET of a daemon to the port TO;
# the control port is the next one.
proxy_start () {
	"$B/standin-proxy" --port "$(port "$1" "$2")" --to "$3" \
		--control "$(port "$1" $(($2 + 1)))" 2>>"$DIR/proxy.err" &
	save_pid PROXY_PID
	wait_http "$(port "$1" $(($2 + 1)))" "/-/mode?mode=ok"
}

# proxy_mode NUMBER OFFSET MODE [MS]: see standin-proxy.c
proxy_mode () {
	get "$(port "$1" "$2")" "/-/mode?mode=$3&ms=${4:-100}" >/dev/null
}

# pid_of daemon|target NUMBER
pid_of () {
	cat "$DIR/$1$2.pid"
}

# write_pid_file daemon|target NUMBER VARIABLE: the id is in VARIABLE
write_pid_file () {
	eval "echo \$$3 >\"$DIR/$1$2.pid\""
	eval "echo \$$3 >>\"$DIR/pids\""
}

# Only one restart of a process at a time; a fault without the lock is skipped.
lock () {
	mkdir "$DIR/lock-$1" 2>/dev/null
}

unlock () {
	rmdir "$DIR/lock-$1"
}

# wait_exit PID: wait for the end of a process, for at most 10 s
wait_exit () {
	for i in $(seq 100)
	do
		kill -0 "$1" 2>/dev/null || return 0
		sleep 0.1
	done
}

daemon_restart () {
	daemon_run "$1"
	write_pid_file daemon "$1" "DAEMON_PID_$1"
}

# target_restart NUMBER: also used for the first start
target_restart () {
	target_start "$1" bookings --work-us 30000 --slots 32
	write_pid_file target "$1" "TARGET_PID_$1"
}

# fault KIND NUMBER SECONDS MODE: cause a fault, and end it after SECONDS
fault () {
	echo "fault $1 number=$2 for=$3 mode=$4" >>"$DIR/faults"
	case $1 in
	link)
		proxy_mode "$2" 6 "$4" 80
		sleep "$3"
		proxy_mode "$2" 6 ok
		;;
	platform-path)
		proxy_mode "$2" 8 "$4" 300
		sleep "$3"
		proxy_mode "$2" 8 ok
		;;
	platform)
		platform_mode "$4" 400
		sleep "$3"
		platform_mode ok
		;;
	pause)
		pid=$(pid_of daemon "$2")
		kill -STOP "$pid" 2>/dev/null
		sleep "$3"
		kill -CONT "$pid" 2>/dev/null
		;;
	pause-target)
		pid=$(pid_of target "$2")
		kill -STOP "$pid" 2>/dev/null
		sleep "$3"
		kill -CONT "$pid" 2>/dev/null
		;;
	reload)
		kill -HUP "$(pid_of daemon "$2")" 2>/dev/null
		;;
	kill)
		lock "daemon$2" || return 0
		echo "$2" >>"$DIR/ended"
		pid=$(pid_of daemon "$2")
		kill -KILL "$pid" 2>/dev/null
		wait_exit "$pid"
		sleep "$3"
		daemon_restart "$2"
		unlock "daemon$2"
		;;
	kill-target)
		lock "target$2" || return 0
		kill -KILL "$(pid_of target "$2")" 2>/dev/null
		sleep "$3"
		target_restart "$2"
		unlock "target$2"
		;;
	stop)
		lock "daemon$2" || return 0
		lock "target$2" || { unlock "daemon$2"; return 0; }
		echo "$2" >>"$DIR/ended"
		pid=$(pid_of daemon "$2")
		kill -TERM "$pid" 2>/dev/null
		wait_exit "$pid"
		kill -KILL "$pid" 2>/dev/null
		wait_exit "$pid"
		daemon_restart "$2"
		unlock "daemon$2"
		unlock "target$2"
		;;
	esac
}

# Print the arguments of fault for a random fault.
random_fault () {
	kind=$(random 12)
	number=$(($(random 5) + 1))
	seconds=$(random_seconds 40)
	case $kind in
	0|1|2) set -- link "$number" "$seconds" "$(random_mode proxy)" ;;
	3|4) set -- platform-path "$number" "$seconds" "$(random_mode proxy)" ;;
	5) set -- platform 0 "$seconds" "$(random_mode platform)" ;;
	6) set -- pause "$number" "$seconds" - ;;
	7) set -- pause-target $((number % 3 + 1)) "$seconds" - ;;
	8) set -- reload "$number" 0 - ;;
	9) set -- kill "$number" "$seconds" - ;;
	10) set -- kill-target $((number % 3 + 1)) "$seconds" - ;;
	11) set -- stop "$number" "$seconds" - ;;
	esac
	echo "$@"
}

# random_mode proxy|platform: a mode of that stand-in, other than "ok"
random_mode () {
	n=$((SEED / 65536))
	if test "$1" = proxy
	then
		set -- delay reset silent out in forget
	else
		set -- down slow lose
	fi
	shift $((n % $#))
	echo "$1"
}

# One caller retries with ids, the other sends neither ids nor retries.
callers_start () {
	ports=$(port 1 1),$(port 2 1),$(port 3 1),$(port 4 1),$(port 5 1)
	"$B/standin-caller" --ports "$ports" --key key-brno --method POST \
		--path /bookings --ids --rate 100 --ms $((SECONDS_LONG * 1000)) \
		--retries 3 --pause-ms 400 --deadline-ms $DEADLINE_MS \
		--log "$DIR/outcomes" >"$DIR/summary" &
	save_pid CALLER_PID
	"$B/standin-caller" --ports "$ports" --key key-olomouc --method POST \
		--path /bookings --rate 30 --ms $((SECONDS_LONG * 1000)) \
		--deadline-ms $DEADLINE_MS >"$DIR/summary2" &
	save_pid CALLER2_PID
}

fail () {
	echo "FAIL seed $FIRST_SEED: $*"
	failed=1
}

# value FILE NAME: a value of a summary of standin-caller
value () {
	sed -n "s/^$2 //p" "$DIR/$1"
}

# check_latency SUMMARY: the longest latency of a successful request, and that
# no response belonged to another request
check_latency () {
	max_us=$(value "$1" max_us)
	test $TIMES = 0 ||
		test "${max_us:-0}" -le $(((DEADLINE_MS + MAX_DELAY_MS) * 1000)) ||
		fail "$1: a request took $max_us us"
	test "$(value "$1" mixed_up)" = 0 ||
		fail "$1: a response belonged to another request"
}

# All daemons run: a fault that ends one also starts it again, so one that does
# not run has exited by itself.
check_daemons_running () {
	for n in $DAEMONS
	do
		kill -0 "$(pid_of daemon $n)" 2>/dev/null ||
			fail "daemon $n exited: $(tail -n 1 "$DIR/daemon$n.err")"
	done
}

# A revoked key runs nothing once the revocation has reached all daemons.
check_revoked_key () {
	"$B/cranberryway" show --daemon "127.0.0.1:$(port 1 2)" >"$DIR/now" ||
		fail "cannot read the configuration"
	sed '/^\[organisation olomouc-wells\]/,/^\[/{/^key/d}' "$DIR/now" >"$DIR/without"
	"$B/cranberryway" submit --daemon "127.0.0.1:$(port 1 2)" --who soak \
		"$DIR/without" >"$DIR/submit.out" 2>&1 || {
		fail "submit: $(cat "$DIR/submit.out")"
		return
	}
	sleep 5
	for n in $DAEMONS
	do
		# With TIMES=0 a daemon may also refuse the call because its
		# configuration is too old; none may run it.
		code=$(get "$(port $n 1)" /bookings -X POST -d x -o /dev/null \
			-w '%{http_code}' -H "Authorization: Bearer key-olomouc")
		test "$code" = 403 || test "$TIMES$code" = 0503 ||
			fail "revoked key: daemon $n answered $code"
	done
}

fleet_init
failed=0
sed 's/^rate = 400/rate = 4000/; s/^burst = 100/burst = 1000/' \
	Documentation/examples/association.ini >"$DIR/v1"
platform_start "$DIR/v1"
for n in $DAEMONS
do
	proxy_start $n 6 "$(port $n 4)"
	proxy_start $n 8 "$PORT_BASE"
	PLATFORM_PORT=$(port $n 8)
	LINK_OFFSET=6
	daemon_start $n plzen "link-bind = 127.0.0.1:$(port $n 4)"
	write_pid_file daemon $n DAEMON_PID_$n
done
for n in $TARGETS
do
	target_restart $n
done
sleep 4
callers_start

pause=$((SECONDS_LONG * 700 / FAULTS))
for k in $(seq "$FAULTS")
do
	SEED=$(((SEED * 1103515245 + 12345) & 2147483647))
	# shellcheck disable=SC2046
	set -- $(random_fault)
	(fault "$@") 2>>"$DIR/faults.err" &
	FAULT_PIDS="$FAULT_PIDS $!"
	sleep "$((pause / 1000)).$(printf %03d $((pause % 1000)))"
done
# shellcheck disable=SC2086
wait $FAULT_PIDS
wait "$CALLER_PID" "$CALLER2_PID"
PIDS="$PIDS $(cat "$DIR/pids" | tr '\n' ' ')"
sleep $RECOVER_S

check_ids "$DIR/outcomes" || fail "the runs do not match the outcomes of the ids"
check_latency summary
check_latency summary2
check_daemons_running
"$B/standin-caller" --ports "$ports" --key key-brno --method POST \
	--path /bookings --ids --rate 100 --ms 3000 --retries 0 \
	--deadline-ms $DEADLINE_MS >"$DIR/after"
test $TIMES = 0 || test "$(value after whole)" -ge 285 ||
	fail "only $(value after whole) of $(value after sent) requests" \
		"succeeded after the faults"
check_revoked_key
sort "$DIR/faults" | cut -d' ' -f2 | uniq -c | tr '\n' ' '
echo "sent $(value summary sent) whole $(value summary whole)" \
	"max_us $(value summary max_us) seed $FIRST_SEED"
if test $failed != 0 && test -n "$KEEP"
then
	mkdir -p "$KEEP"
	cp "$DIR"/* "$KEEP/" 2>/dev/null
fi
test $failed = 0 && echo ok
exit $failed
