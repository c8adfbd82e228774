#!/bin/sh
# The project's test command: installs the packages, builds, checks the format,
# runs the linter and all tests, then the tests again with AddressSanitizer.
set -eu
cd "$(dirname "$0")/.."
sh scripts/setup.sh
jobs=$(nproc)
make -j"$jobs" all standins tests bench-progs
make -s fmt-check
make -s lint
sh scripts/run-tests.sh build/plain
make -s -j"$jobs" SAN=address all standins tests bench-progs
ASAN_OPTIONS=detect_leaks=1 sh scripts/run-tests.sh build/address
