# Functions for tests in which the platform's table service comes back from a
# copy of itself; see standin-table.h.  To be sourced in place of lib-fleet.sh.
#
# The bounds are those of the users' pages: a withdrawn key is refused within
# REVOKE_MS, everything else is in force within APPLY_MS of the acknowledgement.
. t/lib-fleet.sh

REVOKE_MS=5000
APPLY_MS=2000
ZONE=zone-a
FAILED=0

now_ms () {
	date +%s%3N
}

# Write a manifest to standard output: manifest VERSION SERVICE KEYS [PREFIX
# [TYPE]].  SERVICE is that of the route /place/, KEYS are separated by commas.
# PREFIX is a further route, at the service orders.
manifest () {
	keys=$(echo "$3" | sed 's/,/","/g')
	more=
	test -z "${4:-}" || more=$(route r-2 "$4" orders "${5:-unsafe}"),
	cat <<-EOT
	{"version": $1, "resources": [
	$(route r-1 /place/ "$2"), $more
	{"entry_type": "upstreams", "metadata": {"name": "orders"},
	 "spec": {"health_path": "/healthz", "max_conns": 100}},
	{"entry_type": "upstreams", "metadata": {"name": "orders-2"},
	 "spec": {"health_path": "/healthz", "max_conns": 100}},
	{"entry_type": "tenants", "metadata": {"name": "firm"},
	 "spec": {"api_keys": ["$keys"], "priority": 1, "rate_per_s": 0,
	  "burst": 0}},
	{"entry_type": "limits", "metadata": {},
	 "spec": {"max_header_bytes": 16384, "max_body_bytes": 67108864,
	  "header_timeout_s": 3, "idle_timeout_s": 15}}]}
	EOT
}

# route NAME PREFIX SERVICE [TYPE]
route () {
	cat <<-EOT
	{"entry_type": "routes", "metadata": {"name": "$1"},
	 "spec": {"authority": "shop.example", "path_prefix": "$2",
	  "route_type": "${4:-unsafe}", "timeout_s": 5, "target_latency_s": 1.5,
	  "priority": 0, "upstream": "$3", "max_attempts": 2, "public": false}}
	EOT
}

# operator_put VERSION SERVICE KEYS [PREFIX [TYPE]]: write that manifest; its
# acknowledgement is at ACK_MS.
operator_put () {
	manifest "$@" >"$DIR/manifest"
	position=$(get "$PORT_BASE" "/-/op?key=config" -X PUT \
		--data-binary "@$DIR/manifest")
	ACK_MS=$(now_ms)
	echo "operator: manifest $1 acknowledged, $position"
}

# operator_put_again: write the newest manifest once more
operator_put_again () {
	position=$(get "$PORT_BASE" "/-/op?key=config" -X PUT \
		--data-binary "@$DIR/manifest")
	echo "operator: newest manifest written again, $position"
}

# store COMMAND: copy, away or return, see standin-table.h
store () {
	echo "store: $1, $(get "$PORT_BASE" "/-/$1")"
}

# store_rows TABLE: its rows as "part/key version value" lines
store_rows () {
	get "$PORT_BASE" "/-/rows?table=$1"
}

# member_rows NUMBER [PART]: how many rows of members have the link's port of a
# daemon, and a part that begins so
member_rows () {
	store_rows member | grep -c "^${2:-}.*:$(port "$1" 0) "
}

# rows_of_fleet COUNT: wait until the store has the row of the root and that of
# each of so many members
rows_of_fleet () {
	for i in $(seq 100)
	do
		test "$(store_rows member | wc -l)" = "$1" &&
			test -n "$(store_rows control)" && return 0
		sleep 0.1
	done
	return 1
}

# root_number COUNT: the number of the daemon that the root's row names
root_number () {
	for n in $(seq "$1")
	do
		store_rows control | grep -q ":$(port "$n" 0):" && echo "$n"
	done
}

# users_fleet_start SERVICE...: the platform, and a daemon of the data centre
# ZONE and a target for each service.  The manifest is version 3: the route
# /place/ is at the service orders, and there are key-1 and key-2.
users_fleet_start () {
	fleet_init
	users_platform_start
	operator_put 3 orders key-1,key-2
	n=0
	for s in "$@"
	do
		n=$((n + 1))
		users_daemon_start $n $ZONE "$s"
	done
	n=0
	for s in "$@"
	do
		n=$((n + 1))
		server_start $n $ZONE "$s" "i-$n"
	done
	for n in $(seq $#)
	do
		users_ready "$n" || fail "daemon $n is not ready"
	done
	rows_of_fleet $# || fail "rows are missing"
}

# users_ready NUMBER: wait until a daemon serves /place/ with key-2
users_ready () {
	for i in $(seq 150)
	do
		call "$1" key-2 /place/ready
		test "$CALL_STATUS" = 200 && return 0
		sleep 0.1
	done
	return 1
}

# call NUMBER KEY PATH: make one call with CALL_METHOD, or else GET, and add a line "SENT_MS DAEMON KEY PATH
# STATUS SERVICE INSTANCE" to DIR/calls.  Sets CALL_STATUS, 000 if there was no
# response.
call () {
	sent=$(now_ms)
	answer=$(get "$(port "$1" 1)" "$3" -X "${CALL_METHOD:-GET}" --max-time 3 -w '\n%{http_code}' \
		-H "Host: shop.example" -H "Authorization: Bearer $2" \
		-H "Request-Id: $sent-$1-$2" -H "Deadline-Ms: 2000") || :
	CALL_STATUS=$(echo "$answer" | tail -n 1)
	where='- -'
	test "$CALL_STATUS" = 200 && where=$(echo "$answer" | head -n 1)
	echo "$sent $1 $2 $3 $CALL_STATUS $where" >>"$DIR/calls"
}

# call_for MS DAEMONS KEY:PATH...: make these calls at these daemons, a comma
# between them, again and again for that time
call_for () {
	end=$(($(now_ms) + $1))
	daemons=$(echo "$2" | tr , ' ')
	shift 2
	while test "$(now_ms)" -lt "$end"
	do
		for n in $daemons
		do
			for c in "$@"
			do
				call "$n" "${c%%:*}" "${c#*:}"
			done
		done
		sleep 0.05
	done
}

# no_calls WHAT SINCE_MS CALLS CONDITION: no call that was sent since that time
# fulfils the condition, of those that CALLS selects; both are expressions of
# awk on the fields sent, daemon, key, path, status, service and instance.
# Prints how many were sent and how many fulfil it, with the times of the first
# and the last one; notes a failure.
no_calls () {
	awk -v since="$2" -v what="$1" '
		{ sent = $1; daemon = $2; key = $3; path = $4; status = $5
		  service = $6; instance = $7 }
		sent < since || !('"$3"') { next }
		{ all++ }
		'"$4"' {
			if (bad++ == 0)
				first = sent
			last = sent
		}
		END {
			printf "%s: %d of %d calls", what, bad, all
			if (bad)
				printf ", sent %.2f to %.2f s after the bound",
				    (first - since) / 1000, (last - since) / 1000
			print bad ? ": FAILED" : all ? ": ok" : ": NO CALLS"
			exit bad > 0 || !all
		}' "$DIR/calls" || FAILED=$((FAILED + 1))
}

# check WHAT CONDITION...: note a failure if the command fails
check () {
	what=$1
	shift
	if "$@"
	then
		echo "$what: ok"
	else
		echo "$what: FAILED"
		FAILED=$((FAILED + 1))
	fi
}

# Stop the fleet and begin the next part of a test: next_part NAME
next_part () {
	test -z "${DIR:-}" || fleet_stop
	PIDS=
	echo "== $1"
}

# finish: the end of the script
finish () {
	echo "$FAILED checks failed"
	test $FAILED = 0
}
