# End to end: many callers ask for long answers and do not read them.  The
# daemon stays within its memory, and so does the one beside the target.
. t/lib-fleet.sh
set -e
KEY=key-brno
small_fleet
target_mode 1 long 900000

for n in 1 2
do
	crowd_start --port "$(port $n 1)" --mode unread --count 100 \
		--pace-ms 20 --requests 8 --path /records/1
	calls_end $n
	ordinary_call $n /certificates/$n ||
		fail "an ordinary caller is not answered"
	check_daemon 1 $MEMORY_KB
	check_daemon 2 $MEMORY_KB
	crowd_stop
done
echo ok
