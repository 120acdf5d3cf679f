#!/bin/sh
# Builds the stand-ins of the cases 6 and later into build/review-2.
set -eu
cd "$(dirname "$0")/.."
out=build/review-2
mkdir -p "$out"
for play in review/*/play.c; do
	[ -e "$play" ] || continue
	case=$(basename "$(dirname "$play")")
	# shellcheck disable=SC2046
	cc -std=gnu11 -O2 -Wall -Wextra -Werror -Ireview/standins-2 \
	    $(pkg-config --cflags libevent jansson glib-2.0) \
	    -o "$out/play-$case" "$play" review/standins-2/*.c \
	    $(pkg-config --libs libevent jansson glib-2.0)
done
