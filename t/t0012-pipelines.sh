# End to end: many callers ask for long answers, go on sending requests with
# bodies behind them, and read nothing.  Both daemons stay within their memory,
# and an ordinary caller is answered.
. t/lib-fleet.sh
set -e
KEY=key-brno
small_fleet
target_mode 1 long 4000000

for n in 2 1
do
	crowd_start --port "$(port $n 1)" --mode pipeline --count 150 \
		--requests 8 --bytes 1000 --path /records/1
	calls_end $n
	ordinary_call $n /certificates/$n ||
		fail "an ordinary caller is not answered"
	check_daemon 1 $MEMORY_KB
	check_daemon 2 $MEMORY_KB
	crowd_stop
done
echo ok
