# End to end: many callers announce bodies far over the limit, or send them
# without end.  Each is refused, and the announced ones before any of the body
# has come.
. t/lib-fleet.sh
set -e
KEY=key-brno
small_fleet

crowd_start --port "$(port 1 1)" --mode announce --count 150 \
	--bytes 10000000000 --path /records/1
ordinary_call 1 /certificates/1 || fail "an ordinary caller is not answered"
crowd_stop
test "$(crowd_count 413)" = 150 || fail "announced bodies were not refused"

crowd_start --port "$(port 1 1)" --mode endless --count 150 \
	--path /records/1
ordinary_call 1 /certificates/2 || fail "an ordinary caller is not answered"
crowd_stop
check_daemon 1 $MEMORY_KB
echo ok
