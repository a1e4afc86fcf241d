#!/bin/sh
# The stand-ins of the cases 6 to 10 are plain Python 3 and need no build; this checks that they load.
set -eu
cd "$(dirname "$0")/rig"
exec python3 -B -c 'import rig, worker'
