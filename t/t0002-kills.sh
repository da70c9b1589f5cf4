# Daemons and targets are killed while callers send bookings, and retry them
# with the same ids.  No id runs twice, and none runs whose every try was
# refused as not run.
#
# KILLS: the number of kills, 10 by default.  SEED: selects the processes and
# the delays, 1 by default.
. t/lib-fleet.sh
KEY=key-brno
KILLS=${KILLS:-10}
SEED=${SEED:-1}
fleet_init
platform_start Documentation/examples/association.ini
for i in 1 2 3 4 5
do
	daemon_start $i plzen
done
for i in 1 2 3
do
	target_start $i bookings --work-us 60000 --slots 32
done
sleep 4

ports=$(port 1 1),$(port 2 1),$(port 3 1),$(port 4 1),$(port 5 1)
"$B/standin-caller" --ports "$ports" --key key-brno --method POST \
	--path /bookings --ids --rate 150 --ms $((KILLS * 2000)) --retries 4 \
	--pause-ms 400 --deadline-ms 2000 --log "$DIR/outcomes" \
	--id-log "$DIR/ids" >"$DIR/summary" &
save_pid CALLER_PID

# random N: a number below N from a linear congruential generator
random () {
	SEED=$(((SEED * 1103515245 + 12345) & 2147483647))
	echo $((SEED / 65536 % $1))
}

for k in $(seq "$KILLS")
do
	sleep 0.$((3 + $(random 6)))
	n=$(($(random 5) + 1))
	if test "$(random 3)" = 0 && test "$n" -le 3
	then
		eval "kill -KILL \$TARGET_PID_$n"
		sleep 0.2
		target_start $n bookings --work-us 60000 --slots 32
	else
		eval "kill -KILL \$DAEMON_PID_$n"
		sleep 0.$((2 + $(random 7)))
		daemon_start $n plzen
	fi
	sleep 0.8
done 2>/dev/null
wait "$CALLER_PID"
cat "$DIR/summary"

check_ids "$DIR/outcomes" || exit 1
grep -q '^mixed_up 0' "$DIR/summary" || exit 1
echo ok
