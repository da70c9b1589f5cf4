# Operations under load: submitting a configuration, also concurrently and with
# a lost response, revoking an API key, draining a daemon, and reloading its
# settings; also a daemon that is stopped for longer than its lease.
. t/lib-fleet.sh
set -e
KEY=key-brno
fleet_init
# All daemons are in one data centre, which gets a third of each rate.
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
cli () {
	"$B/cranberryway" "$@"
}
# daemon NUMBER: the option that selects a daemon
daemon () {
	echo "--daemon 127.0.0.1:$(port "$1" 2)"
}

# await_version NUMBER VERSION: wait until a daemon has that version of the
# configuration or a later one; fails after 100 attempts, 0.1 s apart.
await_version () {
	for k in $(seq 100)
	do
		test "$(cli show $(daemon "$1") --version)" -ge "$2" && return 0
		sleep 0.1
	done
	fail "daemon $1 does not have version $2"
}

# An invalid configuration is refused with the line of the error, and nothing
# changes.
sed 's/^rate = 4000/rate = 0/' "$DIR/v1" >"$DIR/bad"
cli submit $(daemon 1) "$DIR/bad" >"$DIR/bad.out" 2>&1 &&
	fail "an invalid configuration was accepted"
line=$(grep -n '^rate = 0' "$DIR/bad" | cut -d: -f1)
grep -q "line $line)" "$DIR/bad.out" ||
	fail "the error does not name line $line"
grep -q "^hint: " "$DIR/bad.out" || fail "no hint"
test "$(cli show $(daemon 1) --version)" = 1 || fail "the version changed"

# Of two concurrent submissions based on the same version one is accepted; the
# other gets a diff to the new version.
sed 's/^rate = 4000/rate = 4001/' "$DIR/v1" >"$DIR/a"
sed 's/^rate = 200/rate = 201/' "$DIR/v1" >"$DIR/b"
cli submit $(daemon 1) --from 1 --who ann "$DIR/a" >"$DIR/a.out" 2>&1 &
pid=$!
status_b=0
cli submit $(daemon 3) --from 1 --who bob "$DIR/b" >"$DIR/b.out" 2>&1 ||
	status_b=$?
status_a=0
wait $pid || status_a=$?
test "$status_a$status_b" = 01 || test "$status_a$status_b" = 10 ||
	fail "concurrent submissions exited with $status_a and $status_b"
cat "$DIR/a.out" "$DIR/b.out" | grep -q '^-rate = ' || fail "no diff shown"
await_version 2 2
test "$(cli log $(daemon 2) --porcelain | wc -l)" = 1 || fail "no audit line"

# A submission succeeds although the response to its write was lost.
platform_mode lose
sed 's/^burst = 1000/burst = 999/' "$DIR/v1" >"$DIR/c"
cli submit $(daemon 2) --from 2 "$DIR/c" >"$DIR/c.out" 2>&1 ||
	fail "submission with a lost response failed"
platform_mode ok
sleep 4
for i in 1 2 3 4
do
	test "$(cli show $(daemon $i) --version)" = 3 ||
		fail "daemon $i does not have version 3"
done

# A revoked key is refused within 4 s, also on connections that stay open.
sed "/^\[organisation olomouc/,/^$/s/^key = .*//" "$DIR/c" >"$DIR/d"
"$B/standin-caller" --ports "$(port 4 1)" --key key-olomouc --path /records/1 \
	--rate 50 --ms 9000 >"$DIR/revoked" &
save_pid CALLER_PID
sleep 2
cli submit $(daemon 1) --from 3 "$DIR/d" >/dev/null
sleep 4
code=$(get "$(port 4 1)" /records/1 -o /dev/null -w '%{http_code}' \
	-H 'Authorization: Bearer key-olomouc')
test "$code" = 403 || fail "revoked key: got status $code"
wait "$CALLER_PID"
grep -q '^status_403 ' "$DIR/revoked" ||
	fail "a revoked key was accepted on open connections"

# Draining a daemon under load fails no request.
"$B/standin-caller" --ports "$(port 4 1)" --key key-brno --path /records/1 \
	--rate 400 --ms 9000 >"$DIR/drained" &
save_pid CALLER_PID
sleep 1
cli drain $(daemon 2) >/dev/null
wait "$DAEMON_PID_2" || fail "the drained daemon did not exit cleanly"
wait "$CALLER_PID"
grep -q '^whole 3600$' "$DIR/drained" || {
	cat "$DIR/drained"
	fail "requests failed during the drain"
}

# A daemon that was stopped for longer than its lease does not make requests
# fail after it continues.
kill -STOP "$DAEMON_PID_3"
sleep 6
kill -CONT "$DAEMON_PID_3"
sleep 3
"$B/standin-caller" --ports "$(port 4 1),$(port 3 1)" --key key-brno \
	--path /records/1 --rate 50 --ms 2000 >"$DIR/continued"
grep -q '^whole 100$' "$DIR/continued" || {
	cat "$DIR/continued"
	fail "requests failed after the daemon continued"
}

# SIGHUP reloads the settings; a file with an error leaves them unchanged.
kill -HUP "$DAEMON_PID_4"
sleep 1
echo "nonsense = 1" >>"$DIR/daemon4.ini"
kill -HUP "$DAEMON_PID_4"
sleep 1
grep -q 'event=reloaded' "$DIR/daemon4.err" ||
	fail "SIGHUP did not reload the settings"
grep -q 'event=reload-failed.*nonsense' "$DIR/daemon4.err" ||
	fail "a settings file with an error was not refused"
"$B/standin-caller" --ports "$(port 4 1)" --key key-brno \
	--path /records/1 --rate 50 --ms 1000 >"$DIR/reloaded"
grep -q '^whole 50$' "$DIR/reloaded" || {
	cat "$DIR/reloaded"
	fail "requests failed after SIGHUP"
}
echo ok
