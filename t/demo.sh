#!/bin/sh
# Installs missing packages, builds, and demonstrates a small fleet: calls
# through a chain of services, a retried booking, a crash and an overload.
cd "$(dirname "$0")/.." || exit 128
set -e
packages="gcc g++ make pkg-config curl libevent-dev libevhtp-dev \
 libprotobuf-c-dev libglib2.0-dev libsodium-dev libinih-dev libhttp-parser-dev libjansson-dev libxxhash-dev \
 libbsd-dev"
dpkg -s $packages >/dev/null 2>&1 || {
	apt-get update -q >/dev/null
	apt-get install -y $packages >/dev/null
}
make -j"$(nproc)" all standins >/dev/null
. t/lib-fleet.sh
set +e
KEY=key-brno
fleet_init
say () {
	printf '\n== %s\n' "$*"
}

say "starting a platform stand-in, five daemons, and targets of three services"
platform_start Documentation/examples/association.ini
for i in 1 2 3 4 5
do
	daemon_start $i plzen
done
target_start 1 certificates --work-us 2000 --slots 16
target_start 2 records --work-us 3000 --slots 16 --below /certificates/7
target_start 3 bookings --work-us 3000 --slots 16 --below /records/17
target_start 4 bookings --work-us 3000 --slots 16 --below /records/17
ready 5 /records/17
sleep 3

say "a booking through daemon 5, which calls a chain of three services"
ID=$(date +%s%3N)-plzen-demo

# book NUMBER: send the booking through a daemon
book () {
	get "$(port "$1" 1)" /bookings -X POST -d 'pump=17' -i \
		-H 'Authorization: Bearer key-brno' -H "Idempotency-Key: $ID" |
		grep -E '^HTTP|Verdict|Reason|answers'
}
book 5
say "the same id through daemon 1: the stored response, without a second run"
book 1
echo "runs of $ID: $(grep -c "run $ID " "$DIR/runs")"

say "no API key, an unknown API key, an unknown route"
for h in 'X-None: 1' 'Authorization: Bearer key-unknown'
do
	get "$(port 5 1)" /records/1 -H "$h"
done
get "$(port 5 1)" /nowhere -H 'Authorization: Bearer key-brno'

say "one of the two daemons of bookings is killed under load"
"$B/standin-caller" --ports "$(port 5 1)" --key key-brno --method POST \
	--path /bookings --ids --rate 40 --ms 4000 --retries 3 \
	--pause-ms 300 --log "$DIR/outcomes" >"$DIR/summary" &
save_pid CALLER_PID
sleep 1
kill -KILL "$DAEMON_PID_4"
wait "$CALLER_PID"
grep -E '^(sent|whole|not_run|unknown|retries)' "$DIR/summary"
echo "ids that ran twice: $(awk '/^run [0-9]/ { n[$2]++ } END {
	for (i in n) c += n[i] > 1; print c + 0 }' "$DIR/runs")"

say "overload: records become slow, and lookups and bookings compete"
target_mode 2 slow 250
"$B/standin-caller" --ports "$(port 5 1)" --key key-brno --path /records/1 \
	--rate 90 --ms 4000 --deadline-ms 1000 >"$DIR/lookups" &
save_pid CALLER_PID
"$B/standin-caller" --ports "$(port 1 1)" --key key-brno --method POST \
	--path /bookings --rate 15 --ms 4000 --deadline-ms 2000 \
	>"$DIR/bookings"
wait "$CALLER_PID"
echo "lookups:  $(grep -E '^(sent|whole|not_run)' "$DIR/lookups" | xargs)"
echo "bookings: $(grep -E '^(sent|whole|not_run)' "$DIR/bookings" | xargs)"

say "the steps of the booking"
"$B/cranberryway" explain --daemon "127.0.0.1:$(port 5 2)" "$ID"
say "API keys that targets received"
for i in 1 2 3
do
	get "$(port $i 3)" /-/stats | grep keys_seen
done
