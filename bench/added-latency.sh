# Measures the latency that the daemons add to a call, by direct calls to the
# targets and calls through the daemons, in turn and at the same rate, and
# the processor time of the entry daemon and of an idle daemon.
#
# RATE is in calls a second (100), SECONDS is the length of each run (10).
#
#	sh bench/added-latency.sh [RATE [SECONDS]]
. t/lib-fleet.sh
RATE=${1:-100}
SECS=${2:-10}
KEY=key-brno
fleet_init
sed 's/^rate = 400/rate = 100000/; s/^burst = 100/burst = 10000/' \
	Documentation/examples/association.ini >"$DIR/v1"
platform_start "$DIR/v1"
for i in 1 2 3
do
	daemon_start $i plzen
done
target_start 2 records --work-us 1000 --slots 256 --constant
target_start 3 records --work-us 1000 --slots 256 --constant
ready 1 /records/17
sleep 2

# cpu_ticks PID: processor time used so far, in clock ticks of 10 ms
cpu_ticks () {
	awk '{ print $14 + $15 }' "/proc/$1/stat"
}
# load OPTIONS: one run of calls, and its figures
load () {
	"$B/standin-caller" --rate "$RATE" --ms $((SECS * 1000)) "$@" |
		awk '{ v[$1] = $2 } END {
			print "sent", v["sent"], "whole", v["whole"],
				"p50_us", v["p50_us"], "p99_us", v["p99_us"] }'
}
for round in 1 2 3
do
	echo "direct  $(load --ports "$(port 2 3),$(port 3 3)" --path /records/1)"
	before=$(cpu_ticks "$DAEMON_PID_1")
	echo "through $(load --ports "$(port 1 1)" --key key-brno \
		--path /records/1)"
	after=$(cpu_ticks "$DAEMON_PID_1")
	echo "entry daemon: $(((after - before) * 10000 / SECS)) us of" \
		"processor time a second at $RATE calls a second"
done
before=$(cpu_ticks "$DAEMON_PID_2")
sleep 10
after=$(cpu_ticks "$DAEMON_PID_2")
echo "idle daemon: $(((after - before) * 1000)) us of processor time a second"
grep VmRSS "/proc/$DAEMON_PID_1/status"
