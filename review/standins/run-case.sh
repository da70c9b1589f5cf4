#!/bin/sh
# Runs one case: run-case.sh N.  Exits with 1 if the rule was broken, 0 if it
# held and 2 if the case could not run.  TROUBLE=0 leaves out the disruption.
cd "$(dirname "$0")/../.." || exit 2
program=$(sed -n 's/^run = "\(.*\)"$/\1/p' deploy/system.toml)
test -x "$program" && test -x "target/review/case-$1" || {
	echo "not built: run the build of the deploy file and review/build.sh" >&2
	exit 2
}
folder=$(mktemp -d) || exit 2
trap 'rm -rf "$folder"' EXIT
"target/review/case-$1" "$program" "$folder" "review/$1/record.txt"
status=$?
test -z "$KEEP_LOGS" || cp "$folder"/log-* "$KEEP_LOGS"
exit $status
