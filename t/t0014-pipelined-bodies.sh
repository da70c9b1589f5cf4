# End to end: as t0012, with more callers, whose bodies are longer.  Both
# daemons stay within their memory, and an ordinary caller is answered.
. t/lib-fleet.sh
set -e
KEY=key-brno
small_fleet
target_mode 1 long 4000000
check_unread_crowd --mode pipeline --count 300 --requests 8 --bytes 30000 \
	--path /records/1
echo ok
