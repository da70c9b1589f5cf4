# The platform's table service comes back from a copy some seconds old, and
# gives versions out again.  What the operator then writes is in force in time.
. t/lib-store.sh

# 20 changes of the operator, which the copy lacks: lose_changes FIRST_VERSION
lose_changes () {
	for v in $(seq "$1" $(($1 + 19)))
	do
		operator_put "$v" orders key-1,key-2 >/dev/null
	done
	echo "operator: manifests $1 to $v acknowledged, the last at $position"
}

# The operator withdraws key-1, adds key-3, moves /place/ to orders-2 and adds
# /added/: change_is_in_force VERSION
change_is_in_force () {
	operator_put "$1" orders-2 key-2,key-3 /added/
	call_for 8000 1,2 key-1:/place/a key-2:/place/b key-3:/place/c \
		key-2:/added/d
	no_calls "withdrawn key served" $((ACK_MS + REVOKE_MS)) \
		'key == "key-1"' 'status == 200'
	no_calls "moved route runs at its old service" $((ACK_MS + APPLY_MS)) \
		'key == "key-2" && path ~ /^.place/' 'service == "orders"'
	no_calls "moved route not served by its new service" \
		$((ACK_MS + APPLY_MS)) 'key == "key-2" && path ~ /^.place/' \
		'service != "orders-2"'
	no_calls "added key refused" $((ACK_MS + APPLY_MS)) \
		'key == "key-3"' 'status != 200'
	no_calls "added route not served" $((ACK_MS + APPLY_MS)) \
		'path ~ /^.added/' 'status != 200'
}

next_part "a change after a return"
users_fleet_start orders orders-2
store copy
lose_changes 10
sleep 2
store away
sleep 0.8
store return
operator_put_again
sleep 2
change_is_in_force 60

next_part "a change after two returns within seconds"
users_fleet_start orders orders-2
store copy
lose_changes 10
sleep 1
store away
sleep 0.5
store return
operator_put_again
lose_changes 30
sleep 1
store away
sleep 0.5
store return
operator_put_again
sleep 1
change_is_in_force 60

# The change is the first write after the return, so it can get the version of
# the lost one.
next_part "a change that gets the version of a lost one"
users_fleet_start orders orders-2
store copy
operator_put 10 orders key-1,key-2
sleep 2
store away
sleep 0.8
store return
change_is_in_force 60

finish
