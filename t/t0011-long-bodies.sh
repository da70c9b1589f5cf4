# End to end: single long bodies in calm, up and down, through the daemon beside
# the target and through another one.  Each arrives whole, and no daemon uses
# more memory than the smallest host has.
. t/lib-fleet.sh
set -e
KEY=key-brno
MEMORY_MB=160
MEMORY_KB=$((MEMORY_MB * 1000 * 1000 / 1024))
small_fleet "max-body-bytes = 67108864
max-partial-bytes = 0
default-deadline-ms = 60000
max-deadline-ms = 60000"

# upload NUMBER FILE [curl options]: the target sees what was sent
upload () {
	n=$1 file=$2
	shift 2
	want="$(wc -c <"$file") $(sha256sum "$file" | cut -d' ' -f1)"
	got=$(curl -s --max-time 60 "$@" --data-binary "@$file" \
		-H "Authorization: Bearer $KEY" \
		"http://127.0.0.1:$(port "$n" 1)/records/1")
	test "$got" = "$want" || fail "daemon $n: sent $want, got $got"
}

head -c 10000000 /dev/urandom >"$DIR/10MB"
head -c 67108864 /dev/urandom >"$DIR/64MiB"
target_mode 1 sum
for n in 2 1
do
	upload $n "$DIR/10MB"
	upload $n "$DIR/64MiB"
	upload $n "$DIR/64MiB" -H "Transfer-Encoding: chunked"
	ordinary_call $n /certificates/$n ||
		fail "an ordinary caller is not answered"
done
target_mode 1 long 67108864
for n in 2 1
do
	len=$(get "$(port $n 1)" /records/1 --max-time 60 \
		-H "Authorization: Bearer $KEY" | tr -d x | wc -c)
	code=$(get "$(port $n 1)" /records/1 --max-time 60 -o "$DIR/long" \
		-H "Authorization: Bearer $KEY" -w '%{http_code}')
	test "$code $len $(wc -c <"$DIR/long")" = "200 0 67108864" ||
		fail "daemon $n: status $code, $(wc -c <"$DIR/long") bytes"
done
check_daemon 1 $MEMORY_KB
check_daemon 2 $MEMORY_KB
echo ok
