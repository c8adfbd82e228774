#!/bin/sh
# Builds what the scripts of this review start besides the product: the project's
# stand-in of the platform's store, and each case's program. From the root.
set -eu
cd "$(dirname "$0")/.."
make -j8 B=build/review-3 build/review-3/standins/object_store
for c in review/1[1-5]/case.c; do
	[ -f "$c" ] || continue
	n=$(basename "$(dirname "$c")")
	cc -D_GNU_SOURCE -std=gnu11 -O2 -Wall -Wextra -Wno-format-truncation -Wno-restrict -o "build/review-3/case-$n" "$c" -pthread
done
