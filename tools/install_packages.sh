#!/bin/sh
# Installs the Debian packages that the build needs. Does nothing, and needs no network,
# if all of them are installed.
set -eu
cd "$(dirname "$0")"
missing=""
while read -r package; do
  if ! dpkg-query -W -f='${Status}' "$package" 2>/dev/null | grep -q 'install ok installed'; then
    missing="$missing $package"
  fi
done < packages.txt
[ -z "$missing" ] && exit 0
echo "installing:$missing"
as_root=""
[ "$(id -u)" = 0 ] || as_root=sudo
export DEBIAN_FRONTEND=noninteractive
$as_root apt-get update -q
# shellcheck disable=SC2086 # One word per package.
$as_root apt-get install -y -q --no-install-recommends $missing
