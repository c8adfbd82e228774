#!/bin/sh
# Installs the packages, builds, and runs the demo: two fleets with stand-ins.
set -eu
cd "$(dirname "$0")/.."
sh scripts/setup.sh
make -s -j"$(nproc)" all standins bench-progs >/dev/null
exec build/plain/bench/demo
