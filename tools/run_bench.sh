#!/bin/sh
# Runs every wall-clock measurement against the build folder $1. Nothing is judged here: the
# figures belong to the machine that gave them.
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
