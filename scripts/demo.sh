#!/bin/sh
# Installs packages, builds, and shows two fleets with stand-ins at work.
set -eu
cd "$(dirname "$0")/.."
sh scripts/setup.sh
make -s -j"$(nproc)" all standins bench-progs >/dev/null
exec build/plain/bench/demo
