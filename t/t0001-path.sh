# End to end, with separate processes: a call passes two daemons to a target
# and its response comes back complete, also through a chain of three services.
# Then refusals, misbehaving targets and malformed input.
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

# expect STATUS VERDICT PORT PATH [curl options]: send a request and check the
# status and the verdict of the response
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

PORT=$(port 4 1)
AUTH='Authorization: Bearer key-brno'
expect 200 ran $PORT /bookings -X POST -d x=1 -H "$AUTH"
grep -q "bookings answers /bookings for brno-pumps" "$DIR/body" ||
	fail "the body is incomplete"
grep -q "<- records answers .* <- certificates answers" "$DIR/body" ||
	fail "the bodies of the chain are incomplete"

# The same id at another daemon gets the stored response and does not run.
ID=$(date +%s%3N)-plzen-again
expect 200 ran $PORT /bookings -X POST -d x=1 -H "$AUTH" \
	-H "Idempotency-Key: $ID"
cp "$DIR/body" "$DIR/first"
expect 200 ran $(port 1 1) /bookings -X POST -d x=1 -H "$AUTH" \
	-H "Idempotency-Key: $ID"
cmp -s "$DIR/body" "$DIR/first" || fail "the two responses differ"
test "$(grep -c "run $ID " "$DIR/runs")" = 1 || fail "$ID ran twice"

# Refusals have the right status and a true verdict.
expect 401 not-run $PORT /records/1
expect 403 not-run $PORT /records/1 -H 'Authorization: Bearer key-unknown'
expect 400 not-run $PORT /nowhere -H "$AUTH"
expect 400 not-run $PORT /records/key-brno -H "$AUTH"
expect 400 not-run $PORT /records/1 -H "$AUTH" -H 'Cranberryway-Context: forged'
expect 400 not-run $PORT /bookings -X POST -d x=1 -H "$AUTH" \
	-H 'Idempotency-Key: no-such-form'
expect 409 unknown $PORT /bookings -X POST -d x=1 -H "$AUTH" \
	-H 'Idempotency-Key: 1600000000000-plzen-old'
expect 200 ran $PORT /status
expect 503 not-run $PORT /reports -X POST -d x=1 -H "$AUTH"

# An incomplete response has the verdict "unknown", a refused call "not-run".
for mode in truncate endless
do
	target_mode 3 $mode
	expect 502 unknown $PORT /bookings -X POST -d x=1 -H "$AUTH"
done
# The same for bytes that are no response.  Each text is percent-encoded.
for text in \
	'HTTP/1.1%20000%20OK%0D%0AContent-Length:%201%0D%0A%0D%0Ax' \
	'HTTP/1.1%2020%20OK%0D%0AContent-Length:%201%0D%0A%0D%0Ax' \
	'HTTP/1.1%20999%20OK%0D%0AContent-Length:%201%0D%0A%0D%0Ax' \
	'HTTP/2.0%20200%20OK%0D%0AContent-Length:%201%0D%0A%0D%0Ax' \
	'HTTP/1.1%20200%20OK%0D%0AA%20B:%20c%0D%0AContent-Length:%201%0D%0A%0D%0Ax' \
	'HTTP/1.1%20200%20OK%0D%0AA%01:%20c%0D%0AContent-Length:%201%0D%0A%0D%0Ax' \
	'HTTP/1.1%20200%20OK%0D%0AA:%20%01%0D%0AContent-Length:%201%0D%0A%0D%0Ax' \
	'HTTP/1.1%20200%20OK%0D%0AA:%20b%0D%0A%20c%0D%0AContent-Length:%201%0D%0A%0D%0Ax' \
	'HTTP/1.1%20200%20OK%0D%0ATransfer-Encoding:%20chunked%0D%0A%0D%0A3%0D%0AabcXY0%0D%0A%0D%0A'
do
	target_mode 3 "raw&text=$text"
	expect 502 unknown $PORT /bookings -X POST -d x=1 -H "$AUTH"
done
sleep 1.1
grep -q 'event=responses-refused peer=127.0.0.1:[0-9]* malformed=[1-9]' \
	"$DIR/daemon3.err" || fail "refused responses are not in the log"
target_mode 3 shed
expect 503 not-run $PORT /bookings -X POST -d x=1 -H "$AUTH"
target_mode 3 ok

# Nor is what the platform sends: here a configuration without any service, in
# a chunk that does not end where it should, and then the same without a chunk's
# size.
for chunk in '13%0D%0A%5Bdatacentre%20plzen%5D%0AXY0%0D%0A%0D%0A' \
	'%0D%0A%5Bdatacentre%20plzen%5D%0A%0D%0A0%0D%0A%0D%0A'
do
	platform_mode "raw&text=HTTP/1.1%20200%20OK%0D%0AVersion:%2099%0D%0ATransfer-Encoding:%20chunked%0D%0A%0D%0A$chunk"
	sleep 2
	expect 200 ran $PORT /records/1 -H "$AUTH"
done
platform_mode ok
grep -q 'event=platform-lost' "$DIR"/daemon*.err ||
	fail "no daemon has read what the platform sent"

# Malformed input is refused or the connection closed; other callers are
# still served.
head -c 40000 /dev/zero | tr '\0' a >"$DIR/big"
get $PORT /records/1 -o /dev/null -H "X-Big: $(cat "$DIR/big")" || :
head -c 2000000 /dev/zero >"$DIR/huge"
get $PORT /records/1 -o /dev/null -X POST --data-binary "@$DIR/huge" || :
head -c 5000 /dev/urandom | timeout 2 curl -s "telnet://127.0.0.1:$PORT" || :
head -c 5000 /dev/urandom |
	timeout 2 curl -s "telnet://127.0.0.1:$(port 4 0)" || :
printf '\377\377\377\377xxxx' |
	timeout 2 curl -s "telnet://127.0.0.1:$(port 4 0)" || :
expect 200 ran $PORT /records/1 -H "$AUTH"

for i in 1 2 3
do
	get $(port $i 3) /-/stats | grep -q 'keys_seen 0' ||
		fail "target $i received an API key"
done
grep -l 'key-brno' "$DIR"/*.err && fail "a log contains an API key"
"$B/cranberryway" explain --daemon 127.0.0.1:$(port 4 2) "$ID" |
	grep -q 'step=entry' || fail "explain does not show the entry step of $ID"
echo ok
