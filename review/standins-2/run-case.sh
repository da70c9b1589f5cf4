# Runs case N of the review, and ends with its exit status: sh run-case.sh N
#
# The daemons are started with the command of the deploy file, with settings
# from its template.  What was sent, answered and run goes to record.txt in
# the folder of the case.
cd "$(dirname "$0")/../.." || exit 2
command=$(sed -n 's/^run = "\(.*\)"$/\1/p' deploy/system.toml)
template=$(sed -n 's/^template = "\(.*\)"$/\1/p' deploy/system.toml)
dir=$(mktemp -d) || exit 2
"target/review-2/case$1" "$command" "$template" "$dir" \
	"review/$1/record.txt" &
pid=$!
trap 'kill "$pid"' INT TERM
wait "$pid"
ret=$?
rm -rf "$dir"
[ "$ret" -le 1 ] || exit 2
exit "$ret"
