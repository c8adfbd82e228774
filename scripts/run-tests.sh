#!/bin/sh
# Runs every test program below the build folder $1. Tests named in
# KNOWN-RED.txt (lines "test: NAME") may fail; they are printed either way.
set -u
dir=$1
passed=0; failed=0; red=0
log=$(mktemp)
trap 'rm -f "$log"' EXIT
for t in "$dir"/tests/test_*; do
	case $t in *.o|*.d) continue ;; esac
	[ -x "$t" ] || continue
	name=$(basename "$t")
	start=$(date +%s)
	BUILD_DIR="$dir" timeout 300 "$t" >"$log" 2>&1
	rc=$?
	took=$(($(date +%s) - start))
	if [ $rc -eq 0 ]; then
		passed=$((passed + 1)); echo "ok   $name (${took}s)"
	elif [ -f KNOWN-RED.txt ] && grep -q "^test: $name\$" KNOWN-RED.txt; then
		red=$((red + 1)); echo "RED  $name (known, see KNOWN-RED.txt)"
		grep -E 'FAILED|Error|error' "$log" | head -5
	else
		failed=$((failed + 1)); echo "FAIL $name (exit $rc, ${took}s)"; tail -60 "$log"
	fi
done
echo "known red: $red"
echo "$passed passed, $failed failed"
[ $failed -eq 0 ]
