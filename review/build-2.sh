#!/bin/sh
# Builds the stand-ins that the scripts of the second review start, after the
# build of the deploy file. They share review/6/rig.c.
set -e
cd "$(dirname "$0")/.."
make -j8 build/plain/standins/object_store
mkdir -p build/review-2
for n in 6 7 8 9 10; do
	[ -f "review/$n/case.c" ] || continue
	${CC:-cc} -std=gnu11 -O1 -g -Wall -Wextra -D_GNU_SOURCE -pthread \
		-o "build/review-2/case-$n" "review/$n/case.c" \
		review/6/rig.c
done
