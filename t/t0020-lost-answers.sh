# Two targets run calls and lose their answers.  A call of a route whose type is
# "unsafe" runs once, whatever its method is; one of a "safe" route is sent to
# the other target.  The type may change meanwhile.
. t/lib-store.sh

# ran_again PATH: how many calls of a path ran more than once
ran_again () {
	awk -v path="$1" 'index($7, path) == 1 && $2 == "run" && ++n[$3] == 2 {
		again++
	}
	END { print again + 0 }' "$DIR/runs"
}

# ran PATH: how many calls of a path ran
ran () {
	awk -v path="$1" 'index($7, path) == 1 && $2 == "run" && !n[$3]++ {
		all++
	}
	END { print all + 0 }' "$DIR/runs"
}

next_part "each method"
users_fleet_start orders orders
operator_put 5 orders key-1,key-2 /again/ safe
sleep 2
server_mode 1 lossy
server_mode 2 lossy
for method in GET PUT DELETE POST
do
	CALL_METHOD=$method
	call_for 1500 1,2 "key-2:/place/$method" "key-2:/again/$method"
	n=$(ran_again "/place/$method")
	check "$method, unsafe: $n of $(ran "/place/$method") ran again" \
		test "$n" = 0
	n=$(ran_again "/again/$method")
	check "$method, safe: $n of $(ran "/again/$method") ran again" \
		test "$n" -gt 0
done

next_part "the type changes"
users_fleet_start orders orders
operator_put 5 orders key-1,key-2 /again/ safe
sleep 2
server_mode 1 lossy
server_mode 2 lossy
CALL_METHOD=GET
call_for 1000 1,2 key-2:/again/before
operator_put 6 orders key-1,key-2 /again/ unsafe
call_for 2000 1,2 key-2:/again/meanwhile
call_for 1500 1,2 key-2:/again/after
n=$(ran_again /again/before)
check "before: $n of $(ran /again/before) ran again" test "$n" -gt 0
n=$(ran_again /again/after)
check "after: $n of $(ran /again/after) ran again" test "$n" = 0

finish
