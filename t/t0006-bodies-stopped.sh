# End to end: many callers send bodies in chunks, large or tiny, that stop just
# short of their end.  The daemon stays within its memory, and an ordinary
# caller is answered.
. t/lib-fleet.sh
set -e
KEY=key-brno
small_fleet

for chunk in 65536 16
do
	crowd_start --port "$(port 1 1)" --mode stop --count 150 --total 300 \
		--bytes 1000000 --chunk $chunk --path /records/1
	ordinary_call 1 /certificates/$chunk ||
		fail "an ordinary caller is not answered"
	crowd_stop
	check_daemon 1 $MEMORY_KB
done
echo ok
