#!/bin/sh
# Builds the stand-ins that the cases start, into review/build.
set -eu
cd "$(dirname "$0")"
mkdir -p build
flags=$(pkg-config --cflags libevent glib-2.0 jansson)
libs=$(pkg-config --libs libevent glib-2.0 jansson)
for case in */case.c; do
	n=${case%/case.c}
	# shellcheck disable=SC2086
	${CC:-gcc} -std=gnu11 -O1 -g -Wall -Wextra -Istandins $flags \
	    -o "build/case-$n" "$case" standins/world.c $libs
done
