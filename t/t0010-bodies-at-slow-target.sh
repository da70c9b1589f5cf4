# End to end: many callers send whole bodies to a target that is slow.  Both
# daemons on the way stay within their memory, no call runs that was refused,
# and an ordinary caller is answered.
. t/lib-fleet.sh
set -e
KEY=key-brno
small_fleet
target_mode 1 slow 4000

for n in 2 1
do
	: >"$DIR/runs"
	crowd_start --port "$(port $n 1)" --mode whole --count 200 \
		--bytes 1000000 --path /records/1
	ordinary_call $n /certificates/$n ||
		fail "an ordinary caller is not answered"
	check_daemon 1 $MEMORY_KB
	check_daemon 2 $MEMORY_KB
	wait "$CROWD_PID" 2>/dev/null || :
	crowd_stop
	runs=$(grep -c ' /records/1$' "$DIR/runs") || :
	not_refused=$((200 - $(crowd_count 503) - $(crowd_count 429)))
	echo "$runs runs, $not_refused calls not refused"
	test "$runs" -le "$not_refused" || fail "a refused call ran"
done
echo ok
