#!/bin/sh
# Builds and runs all benchmarks; the arguments are passed to bench_latency.
set -eu
cd "$(dirname "$0")/.."
sh scripts/setup.sh
make -s -j"$(nproc)" all standins bench-progs >/dev/null
for b in build/plain/bench/bench_*; do
	case $b in *.o | *.d) continue ;; esac
	echo "== $(basename "$b")"
	case $b in
	*/bench_latency) "$b" "$@" ;;
	*) "$b" ;;
	esac
done
