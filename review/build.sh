#!/bin/sh
# Builds the programs of review/*/run.sh into target/review/.
set -e
cd "$(dirname "$0")/.."
mkdir -p target/review
libs="glib-2.0 jansson"
for main in review/*/case.c
do
	n=$(basename "$(dirname "$main")")
	# shellcheck disable=SC2046
	${CC:-gcc} -std=gnu11 -D_GNU_SOURCE -O2 -g -Wall -Wextra -I. \
		$(pkg-config --cflags $libs) -o "target/review/case-$n" \
		"$main" review/standins/harness.c \
		$(pkg-config --libs $libs) -lpthread
done
