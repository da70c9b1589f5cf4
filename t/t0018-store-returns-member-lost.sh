# The platform's table service comes back from a copy without the row of a
# target that joined since.  The target is called, and its row written again.
. t/lib-store.sh

# Time for a row that the copy lacks to be written again.
ROW_AGAIN_MS=10000

next_part "a target whose row is not in the copy"
users_fleet_start orders orders-2
store copy
users_daemon_start 3 $ZONE orders
server_start 3 $ZONE orders i-3
users_ready 3 || fail "daemon 3 is not ready"
sleep 2
check "before the return: its row is in the store" test "$(member_rows 3)" = 1
store away
sleep 0.8
store return
RETURN_MS=$(now_ms)
check "its row is not in the copy" test "$(member_rows 3)" = 0
operator_put_again
sleep 3
arrived=$(server_arrived 3)
call_for 2000 1,2 key-2:/place/a
arrived=$(($(server_arrived 3) - arrived))
check "after the return: $arrived calls arrive" test "$arrived" -gt 0
while test "$(member_rows 3)" = 0 &&
	test $(($(now_ms) - RETURN_MS)) -lt $ROW_AGAIN_MS
do
	sleep 0.1
done
check "after $(($(now_ms) - RETURN_MS)) ms: its row is in the store again" \
	test "$(member_rows 3)" = 1

finish
