#!/bin/sh
# Runs all test programs in the build folder $1: module tests four at a time,
# system tests one at a time because they measure time. Tests listed in
# KNOWN-RED.txt (lines "test: NAME") may fail; their results are printed too.
set -u
dir=$1
out=$(mktemp -d)
trap 'rm -rf "$out"' EXIT

cat >"$out/one.sh" <<'ONE'
dir=$1; out=$2; t=$3
name=$(basename "$t")
start=$(date +%s)
BUILD_DIR="$dir" timeout 300 "$t" >"$out/$name.log" 2>&1
rc=$?
took=$(($(date +%s) - start))
if [ $rc -eq 0 ]; then
	echo "ok   $name (${took}s)"
	echo pass >"$out/$name.verdict"
elif [ -f KNOWN-RED.txt ] && grep -q "^test: $name\$" KNOWN-RED.txt; then
	echo "RED  $name (known, see KNOWN-RED.txt)"
	grep -E 'FAILED|Error|error' "$out/$name.log" | head -5
	echo red >"$out/$name.verdict"
else
	echo "FAIL $name (exit $rc, ${took}s)"
	tail -60 "$out/$name.log"
	echo fail >"$out/$name.verdict"
fi
ONE

programs() {
	for t in "$dir"/tests/test_*; do
		case $t in *.o | *.d) continue ;; esac
		[ -x "$t" ] && echo "$t"
	done
}
programs | grep -v /test_system_ | xargs -P 4 -n 1 sh "$out/one.sh" "$dir" "$out"
programs | grep /test_system_ | xargs -n 1 -r sh "$out/one.sh" "$dir" "$out"
count() { cat "$out"/*.verdict 2>/dev/null | grep -c "^$1\$"; }
echo "known red: $(count red)"
echo "$(count pass) passed, $(count fail) failed"
[ "$(count fail)" -eq 0 ] && [ "$(count pass)" -gt 0 ]
