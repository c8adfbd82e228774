#!/bin/sh
# Builds what the scripts of the cases start: the project's stand-in for the
# store, and the programs of the cases. The gateway itself is built by the build
# of deploy/system.toml. Needs gcc and make, and the packages that the deploy
# file names.
set -e
cd "$(dirname "$0")/.."
make -j4 build/plain/standins/object_store
mkdir -p review/bin
for c in review/stand/case_*.c review/stand/more_*.c; do
	gcc -std=gnu11 -O1 -g -Wall -Wextra -D_GNU_SOURCE -pthread \
		-o "review/bin/$(basename "$c" .c)" "$c" \
		review/stand/rig.c review/stand/drain_load.c
done
