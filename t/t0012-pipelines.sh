# End to end: many callers ask for long answers, go on sending requests with
# bodies behind them, and read nothing.  Both daemons stay within their memory,
# and an ordinary caller is answered.
. t/lib-fleet.sh
set -e
KEY=key-brno
small_fleet
target_mode 1 long 4000000
check_unread_crowd --mode pipeline --count 150 --requests 8 --bytes 1000 \
	--path /records/1
echo ok
