# End to end: many callers ask for one long answer each and do not read it, or
# send requests that the daemon does not read because of that.  What the system
# keeps in their sockets is within the daemon's memory, as the rest is.
. t/lib-fleet.sh
set -e
KEY=key-brno
small_fleet
target_mode 1 long 900000

# check_sockets NUMBER
check_sockets () {
	kept=$(socket_bytes "$(port "$1" 1)")
	peak=$(memory_peak "$1")
	echo "daemon $1: $kept kB in sockets, peak $peak kB"
	test $((kept + peak)) -lt $MEMORY_KB ||
		fail "daemon $1 and its sockets take $((kept + peak)) kB"
}

for n in 2 1
do
	crowd_start --port "$(port $n 1)" --mode unread --count 200 \
		--pace-ms 20 --path /records/1
	calls_end $n
	check_sockets $n
	ordinary_call $n /certificates/$n ||
		fail "an ordinary caller is not answered"
	crowd_stop
done
crowd_start --port "$(port 1 1)" --mode pipeline --count 200 --bytes 1000 \
	--path /records/1
calls_end 1
check_sockets 1
ordinary_call 1 /certificates/3 || fail "an ordinary caller is not answered"
check_daemon 1 $MEMORY_KB
crowd_stop
echo ok
