# The platform's table service comes back from a copy with an older
# configuration, which is not written again for some seconds.  No daemon goes
# back to it, nor does one that is killed and started meanwhile.
. t/lib-store.sh

# killed_daemon_does_not_go_back WHICH: "root" for the root of the data centre's
# tree, or "child" for another daemon
killed_daemon_does_not_go_back () {
	users_fleet_start orders orders-2 orders
	root=$(root_number 3)
	test -n "$root" || fail "no daemon is the root"
	victim=$root
	test "$1" = root || victim=$((root % 3 + 1))
	store copy
	operator_put 10 orders-2 key-2
	call_for 6000 1,2,3 key-1:/place/a key-2:/place/b
	no_calls "before the return: withdrawn key served" \
		$((ACK_MS + REVOKE_MS)) 'key == "key-1"' 'status == 200'
	no_calls "before the return: route at its old service" \
		$((ACK_MS + APPLY_MS)) 'key == "key-2"' 'service == "orders"'
	store away
	sleep 0.8
	store return
	RETURN_MS=$(now_ms)
	echo "daemon $victim is killed and started, the root was $root"
	daemon_restart "$victim"
	call_for 4000 1,2,3 key-1:/place/a key-2:/place/b
	for n in 1 2 3
	do
		no_calls "daemon $n, withdrawn key served" "$RETURN_MS" \
			"daemon == $n && key == \"key-1\"" 'status == 200'
		no_calls "daemon $n, route at its old service" "$RETURN_MS" \
			"daemon == $n" 'service == "orders"'
	done
	operator_put_again
	ACK_MS=$(now_ms)
	call_for 4000 1,2,3 key-1:/place/a key-2:/place/b
	no_calls "written again: withdrawn key served" "$ACK_MS" \
		'key == "key-1"' 'status == 200'
	no_calls "written again: route not served by its new service" \
		$((ACK_MS + APPLY_MS)) 'key == "key-2"' 'service != "orders-2"'
}

next_part "the root is killed"
killed_daemon_does_not_go_back root

next_part "a child of the root is killed"
killed_daemon_does_not_go_back child

finish
