# The daemon beside a target that has left is killed and started again, and a
# late announcement of that target arrives then.  No call reaches the target,
# however often and together with which other daemons it is started; a target
# that starts anew is called again.
. t/lib-store.sh

# The target goes on listening after it has left, so that calls can reach it.
# left_target_gets_no_call WHAT: after its late announcement
left_target_gets_no_call () {
	server_mode 3 late
	arrived=$(server_arrived 3)
	call_for 3000 1,2 key-2:/place/a
	arrived=$(($(server_arrived 3) - arrived))
	check "$1: $arrived calls arrive" test "$arrived" = 0
}

# target_leaves: the target beside daemon 3, which is called before
target_leaves () {
	users_fleet_start orders orders-2 orders
	call_for 1000 1,2,3 key-2:/place/a
	check "before it left: it is called" test "$(server_arrived 3)" -gt 0
	server_mode 3 "$1"
	sleep 0.3
}

for mode in left draining
do
	next_part "a target that is $mode"
	target_leaves $mode
	daemon_restart 3
	sleep 1
	left_target_gets_no_call "its daemon is killed"
	daemon_restart 1
	daemon_restart 3
	daemon_restart 3
	left_target_gets_no_call "two daemons, one of them twice"
	for n in 1 2 3
	do
		daemon_kill $n
	done
	for n in 1 2 3
	do
		daemon_run $n || fail "daemon $n does not start"
	done
	left_target_gets_no_call "all daemons"
	check "its rows in the store: $(member_rows 3)" \
		test "$(member_rows 3)" = 0
	kill "$TARGET_PID_3"
	wait "$TARGET_PID_3"
	server_start 3 $ZONE orders i-9
	call_for 3000 1,2 key-2:/place/a
	arrived=$(server_arrived 3)
	check "it has started again: $arrived calls arrive" test "$arrived" -gt 0
done

next_part "the store is away"
target_leaves left
store copy
store away
daemon_restart 3
left_target_gets_no_call "its daemon is killed"
store return
operator_put_again
left_target_gets_no_call "the store is back"

next_part "the store lost it"
users_fleet_start orders orders-2 orders orders
store copy
server_mode 3 left
sleep 0.3
daemon_kill 3
store away
sleep 0.8
store return
operator_put_again
sleep 1
daemon_run 3 || fail "daemon 3 does not start"
sleep 1
left_target_gets_no_call "other daemons know it"

finish
