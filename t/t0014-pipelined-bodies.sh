# End to end: as t0012, with more callers, whose bodies are longer.  Both
# daemons stay within their memory, and an ordinary caller is answered.
. t/lib-fleet.sh
set -e
KEY=key-brno
small_fleet
target_mode 1 long 4000000

for n in 2 1
do
	crowd_start --port "$(port $n 1)" --mode pipeline --count 300 \
		--requests 8 --bytes 30000 --path /records/1
	calls_end $n
	ordinary_call $n /certificates/$n ||
		fail "an ordinary caller is not answered"
	check_daemon 1 $MEMORY_KB
	check_daemon 2 $MEMORY_KB
	crowd_stop
done
echo ok
