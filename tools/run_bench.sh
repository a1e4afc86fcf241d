#!/bin/sh
# Runs every wall-clock benchmark in the build folder $1. No bounds are checked, because the
# figures depend on the machine.
set -eu
cd "$(dirname "$0")/.."
build=$1
for program in "$build"/bench_*; do
  if [ -f "$program" ] && [ -x "$program" ]; then
    echo "== $(basename "$program")"
    "$program"
  fi
done
echo "== overhead"
python3 tools/bench_overhead.py --build="$build"
