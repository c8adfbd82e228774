#!/bin/sh
# Installs the Debian packages that the build, tests, formatter and linter need.
set -e
pkgs="gcc make pkg-config clang-format clang-tidy curl liburcu-dev libmicrohttpd-dev
libneon27-gnutls-dev libtirpc-dev rpcsvc-proto libglib2.0-dev libcmocka-dev
libjson-c-dev libxxhash-dev libcurl4-openssl-dev libhttp-parser-dev zlib1g-dev"
missing=
for p in $pkgs; do
	dpkg-query -W -f='${Status}' "$p" 2>/dev/null | grep -q 'install ok installed' || missing="$missing $p"
done
[ -z "$missing" ] && exit 0
echo "setup: installing$missing"
apt-get update -qq
DEBIAN_FRONTEND=noninteractive apt-get install -y -qq --no-install-recommends $missing >/dev/null
