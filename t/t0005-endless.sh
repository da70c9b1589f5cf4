# End to end: a target answers many calls at once with bodies that never end.
# The daemon beside it keeps few of the bytes and serves the other calls.
. t/lib-fleet.sh
set -e
KEY=key-brno
# What a host of the smallest deployment has for its daemon.
MEMORY_KB=260000
# The sanitizers keep freed memory for some time; that is not the daemon's.
ASAN_OPTIONS=quarantine_size_mb=1
export ASAN_OPTIONS
fleet_init
sed 's/^rate = .*/rate = 100000/; s/^burst = .*/burst = 10000/' \
	Documentation/examples/association.ini >"$DIR/catalog.ini"
platform_start "$DIR/catalog.ini"
daemon_start 1 plzen "max-body-bytes = 3145728"
daemon_start 2 plzen
target_start 1 records --slots 400
target_start 2 certificates
ready 1 /records/1
ready 1 /certificates/1

fail () {
	echo "FAIL: $*"
	cat "$DIR"/*.err
	exit 1
}

target_mode 1 flood
for round in 1 2 3
do
	curl -s -Z --parallel-max 200 --max-time 30 -o /dev/null \
		-w '%{http_code}\n' -H "Authorization: Bearer $KEY" \
		"http://127.0.0.1:$(port 1 1)/records/[1-200]" \
		>"$DIR/statuses" &
	save_pid CURL_PID
	for i in 1 2 3 4 5
	do
		ready 1 /certificates/$round$i || fail "another call failed"
	done
	wait $CURL_PID || :
	test "$(grep -c . "$DIR/statuses")" = 200 || fail "answers are missing"
	grep -q 200 "$DIR/statuses" && fail "an endless answer is complete"
done
kill -0 $DAEMON_PID_1 || fail "the daemon ended"
peak=$(sed -n 's/^VmHWM:[^0-9]*\([0-9]*\).*/\1/p' /proc/$DAEMON_PID_1/status)
echo "peak $peak kB"
test "$peak" -lt $MEMORY_KB || fail "the daemon held $peak kB"
target_mode 1 ok
ready 1 /records/2 || fail "the target is not used again"
echo ok
