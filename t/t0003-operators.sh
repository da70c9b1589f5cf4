# What operators do while traffic runs: submit, race, withdraw a key, drain;
# and a daemon that is frozen past its lease.
. t/lib-fleet.sh
set -e
KEY=key-brno
fleet_init
# All daemons are in one data centre, which holds a third of each rate.
sed 's/^rate = 400/rate = 4000/; s/^burst = 100/burst = 1000/' \
	Documentation/examples/association.ini >"$DIR/v1"
platform_start "$DIR/v1"
for i in 1 2 3 4
do
	daemon_start $i plzen
done
for i in 1 2 3
do
	target_start $i records --work-us 3000 --slots 32
done
ready 4 /records/1

fail () {
	echo "FAIL: $*"
	for n in 1 3 4
	do
		status $n | grep -v " 0$" || :
	done
	cat "$DIR"/*.err "$DIR"/*.out 2>/dev/null
	exit 1
}
way () {
	"$B/cranberryway" "$@"
}
at () {
	echo "--daemon 127.0.0.1:$(port "$1" 2)"
}

# Wait until a daemon has a version; gives up after 10 s.
await_version () {
	for k in $(seq 100)
	do
		test "$(way show $(at "$1") --version)" -ge "$2" && return 0
		sleep 0.1
	done
	fail "daemon $1 does not have version $2"
}

# A bad text is refused with its line, and nothing changes.
sed 's/^rate = 4000/rate = 0/' "$DIR/v1" >"$DIR/bad"
way submit $(at 1) "$DIR/bad" >"$DIR/bad.out" 2>&1 && fail "bad text accepted"
line=$(grep -n '^rate = 0' "$DIR/bad" | cut -d: -f1)
grep -q "line $line)" "$DIR/bad.out" || fail "line $line is not named"
grep -q "^hint: " "$DIR/bad.out" || fail "no hint"
test "$(way show $(at 1) --version)" = 1 || fail "the version changed"

# Two submissions from one version: one wins, the other is shown a diff.
sed 's/^rate = 4000/rate = 4001/' "$DIR/v1" >"$DIR/a"
sed 's/^rate = 200/rate = 201/' "$DIR/v1" >"$DIR/b"
way submit $(at 1) --from 1 --who ann "$DIR/a" >"$DIR/a.out" 2>&1 &
pid=$!
rb=0
way submit $(at 3) --from 1 --who bob "$DIR/b" >"$DIR/b.out" 2>&1 || rb=$?
ra=0
wait $pid || ra=$?
test "$ra$rb" = 01 || test "$ra$rb" = 10 || fail "race: $ra $rb"
cat "$DIR/a.out" "$DIR/b.out" | grep -q '^-rate = ' || fail "no diff shown"
await_version 2 2
test "$(way log $(at 2) --porcelain | wc -l)" = 1 || fail "no audit line"

# An answer lost after the write is settled.
platform_mode lose
sed 's/^burst = 1000/burst = 999/' "$DIR/v1" >"$DIR/c"
way submit $(at 2) --from 2 "$DIR/c" >"$DIR/c.out" 2>&1 || fail "lost answer"
platform_mode ok
sleep 4
for i in 1 2 3 4
do
	test "$(way show $(at $i) --version)" = 3 || fail "daemon $i is behind"
done

# A withdrawn key stops within 4 s, also on a connection that is kept.
sed "/^\[organisation olomouc/,/^$/s/^key = .*//" "$DIR/c" >"$DIR/d"
"$B/standin-caller" --ports "$(port 4 1)" --key key-olomouc --path /records/1 \
	--rate 50 --ms 9000 >"$DIR/withdrawn" &
started CALLER_PID
sleep 2
way submit $(at 1) --from 3 "$DIR/d" >/dev/null
sleep 4
code=$(get "$(port 4 1)" /records/1 -o /dev/null -w '%{http_code}' \
	-H 'Authorization: Bearer key-olomouc')
test "$code" = 403 || fail "withdrawn key: $code"
wait "$CALLER_PID"
grep -q '^status_403 ' "$DIR/withdrawn" || fail "kept connection went on"

# A planned stop of a daemon under load cuts no request.
"$B/standin-caller" --ports "$(port 4 1)" --key key-brno --path /records/1 \
	--rate 400 --ms 9000 >"$DIR/drained" &
started CALLER_PID
sleep 1
way drain $(at 2) >/dev/null
wait "$DAEMON_PID_2" || fail "the drained daemon did not exit cleanly"
wait "$CALLER_PID"
grep -q '^whole 3600$' "$DIR/drained" || {
	cat "$DIR/drained"
	fail "the drain cut requests"
}

# A daemon that was frozen past its lease does not disturb the others.
kill -STOP "$DAEMON_PID_3"
sleep 6
kill -CONT "$DAEMON_PID_3"
sleep 3
"$B/standin-caller" --ports "$(port 4 1),$(port 3 1)" --key key-brno \
	--path /records/1 --rate 50 --ms 2000 >"$DIR/thawed"
grep -q '^whole 100$' "$DIR/thawed" || {
	cat "$DIR/thawed"
	fail "after the freeze"
}
# SIGHUP reads the settings again; a file with an error leaves the old ones.
kill -HUP "$DAEMON_PID_4"
sleep 1
echo "nonsense = 1" >>"$DIR/daemon4.ini"
kill -HUP "$DAEMON_PID_4"
sleep 1
grep -q 'event=reloaded' "$DIR/daemon4.err" || fail "SIGHUP was not taken"
grep -q 'event=reload-failed.*nonsense' "$DIR/daemon4.err" ||
	fail "a bad file was not refused"
"$B/standin-caller" --ports "$(port 4 1)" --key key-brno \
	--path /records/1 --rate 50 --ms 1000 >"$DIR/reloaded"
grep -q '^whole 50$' "$DIR/reloaded" || {
	cat "$DIR/reloaded"
	fail "after SIGHUP"
}
echo ok
