#!/bin/sh
# Builds what the scripts of the cases start: the project's stand-in for the
# store, and the programs of the cases, into build/. The gateway itself is built
# by the build of deploy/system.toml. Needs gcc and make, and the packages that
# the deploy file names. review/1/rig.c is shared by all cases.
set -e
cd "$(dirname "$0")/.."
make -j4 build/plain/standins/object_store
mkdir -p build/review
for n in 1 2 3 4 5; do
	more=
	[ $n = 5 ] && more=review/5/drain_load.c
	gcc -std=gnu11 -O1 -g -Wall -Wextra -D_GNU_SOURCE -pthread -Ireview/1 \
		-o build/review/case_$n review/$n/case.c review/1/rig.c $more
done
