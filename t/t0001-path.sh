# A call goes from a caller through two daemons to a target and back whole,
# and down a chain of three services, as separate processes.
. t/lib-fleet.sh
set -e
KEY=key-brno
fleet_init
platform_start Documentation/examples/association.ini
for i in 1 2 3 4
do
	daemon_start $i plzen
done
target_start 1 certificates
target_start 2 records --below /certificates/7
target_start 3 bookings --below /records/17
ready 4 /records/17
sleep 3

fail () {
	echo "FAIL: $*"
	cat "$DIR"/*.err
	exit 1
}
# expect STATUS VERDICT PORT PATH [curl options]
expect () {
	want="$1 $2"
	shift 2
	p=$1 u=$2
	shift 2
	get "$p" "$u" -D "$DIR/head" -o "$DIR/body" "$@" || :
	got="$(sed -n '1s/HTTP[^ ]* \([0-9]*\).*/\1/p' "$DIR/head") $(
		sed -n 's/^Cranberryway-Verdict: \([a-z-]*\).*/\1/p' "$DIR/head")"
	test "$got" = "$want" || fail "$u: got '$got', wanted '$want'"
}

P=$(port 4 1)
A='Authorization: Bearer key-brno'
expect 200 ran $P /bookings -X POST -d x=1 -H "$A"
grep -q "bookings answers /bookings for brno-pumps" "$DIR/body" ||
	fail "the body is not whole"
grep -q "<- records answers .* <- certificates answers" "$DIR/body" ||
	fail "the chain is not whole"

# The same id again, at another daemon, is answered and not run again.
ID=$(date +%s%3N)-plzen-again
expect 200 ran $P /bookings -X POST -d x=1 -H "$A" -H "Idempotency-Key: $ID"
cp "$DIR/body" "$DIR/first"
expect 200 ran $(port 1 1) /bookings -X POST -d x=1 -H "$A" \
	-H "Idempotency-Key: $ID"
cmp -s "$DIR/body" "$DIR/first" || fail "the second answer is another"
test "$(grep -c "run $ID " "$DIR/runs")" = 1 || fail "$ID ran twice"

# Refusals, each with its status and a true verdict.
expect 401 not-run $P /records/1
expect 403 not-run $P /records/1 -H 'Authorization: Bearer key-unknown'
expect 400 not-run $P /nowhere -H "$A"
expect 400 not-run $P /records/key-brno -H "$A"
expect 400 not-run $P /records/1 -H "$A" -H 'Cranberryway-Context: forged'
expect 400 not-run $P /bookings -X POST -d x=1 -H "$A" \
	-H 'Idempotency-Key: no-such-form'
expect 409 unknown $P /bookings -X POST -d x=1 -H "$A" \
	-H 'Idempotency-Key: 1600000000000-plzen-old'
expect 200 ran $P /status
expect 503 not-run $P /reports -X POST -d x=1 -H "$A"

# A target that breaks off is never taken for whole, one that sheds not run.
for mode in truncate endless
do
	target_mode 3 $mode
	expect 502 unknown $P /bookings -X POST -d x=1 -H "$A"
done
target_mode 3 shed
expect 503 not-run $P /bookings -X POST -d x=1 -H "$A"
target_mode 3 ok

# Bad input: refused or closed, and other callers are undisturbed.
head -c 40000 /dev/zero | tr '\0' a >"$DIR/big"
get $P /records/1 -o /dev/null -H "X-Big: $(cat "$DIR/big")" || :
head -c 2000000 /dev/zero >"$DIR/huge"
get $P /records/1 -o /dev/null -X POST --data-binary "@$DIR/huge" || :
head -c 5000 /dev/urandom | timeout 2 curl -s "telnet://127.0.0.1:$P" || :
head -c 5000 /dev/urandom |
	timeout 2 curl -s "telnet://127.0.0.1:$(port 4 0)" || :
printf '\377\377\377\377xxxx' |
	timeout 2 curl -s "telnet://127.0.0.1:$(port 4 0)" || :
expect 200 ran $P /records/1 -H "$A"

for i in 1 2 3
do
	get $(port $i 3) /-/stats | grep -q 'keys_seen 0' ||
		fail "target $i saw a key"
done
grep -l 'key-brno' "$DIR"/*.err && fail "a key is in the logs"
"$B/cranberryway" explain --daemon 127.0.0.1:$(port 4 2) "$ID" |
	grep -q 'step=entry' || fail "explain knows nothing of $ID"
echo ok
