# The platform's table service comes back from a copy that has the row of a
# target that has left since.  No call reaches that target, nor another service
# that uses its host by now.
. t/lib-store.sh

# The target goes on listening after it has left, so that calls can reach it.
next_part "a target that left"
users_fleet_start orders orders-2 orders
call_for 1000 1,2,3 key-2:/place/a
check "before it left: it is called" test "$(server_arrived 3)" -gt 0
store copy
server_mode 3 left
sleep 3
arrived=$(server_arrived 3)
call_for 1000 1,2,3 key-2:/place/a
echo "after it left: $(($(server_arrived 3) - arrived)) calls arrived"
echo "its rows in the store: $(member_rows 3)"
store away
sleep 0.8
store return
check "its row is in the copy" test "$(member_rows 3)" = 1
operator_put_again
arrived=$(server_arrived 3)
call_for 2000 1,2,3 key-2:/place/a
echo "daemons 1 and 3 are killed and started"
daemon_restart 1
daemon_restart 3
call_for 5000 1,2,3 key-2:/place/a
arrived=$(($(server_arrived 3) - arrived))
check "after the return: $arrived calls arrive" test "$arrived" = 0

next_part "a host that another service uses by now"
users_fleet_start orders orders-2 orders
store copy
server_mode 3 left
kill -TERM "$DAEMON_PID_3"
wait "$DAEMON_PID_3"
kill "$TARGET_PID_3"
wait "$TARGET_PID_3"
users_daemon_start 3 $ZONE orders-2
server_start 3 $ZONE orders-2 i-4
users_ready 3 || fail "daemon 3 is not ready"
store away
sleep 0.8
store return
RETURN_MS=$(now_ms)
check "the old row is in the copy" test "$(member_rows 3 orders/)" = 1
operator_put_again
echo "daemon 1 is killed and started"
daemon_restart 1
call_for 5000 1,2,3 key-2:/place/a
no_calls "route runs at another service" "$RETURN_MS" 1 \
	'service == "orders-2"'
arrived=$(server_arrived 3)
check "$arrived calls arrive at the other service" test "$arrived" = 0

finish
