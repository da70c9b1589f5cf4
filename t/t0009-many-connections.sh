# End to end: more callers connect than the daemon has descriptors for, and
# stay silent.  An ordinary caller gets in.
. t/lib-fleet.sh
set -e
KEY=key-brno
DESCRIPTORS=160
(ulimit -n $DESCRIPTORS) || exit 1
ulimit -S -n $DESCRIPTORS
ulimit -H -n $DESCRIPTORS
small_fleet

for mode in silent stop
do
	crowd_start --port "$(port 1 1)" --mode $mode --count 140 \
		--bytes 1000 --path /records/1
	for i in 1 2 3
	do
		ordinary_call 1 /certificates/$mode$i ||
			fail "an ordinary caller is not answered"
	done
	check_daemon 1 $MEMORY_KB
	n=$(descriptor_count 1)
	echo "$n descriptors of $DESCRIPTORS"
	test "$n" -le $DESCRIPTORS || fail "$n descriptors are open"
	crowd_stop
done
echo ok
