#!/bin/sh
# Runs every test in the build folder $1. Known failures are listed in KNOWN-RED.txt, which is printed.
# A line "test: PROGRAM SUITE/CASE" skips a Boost.Test case. A line "test: counted_NAME CHECK" excuses a
# check of a counted_* program, which still runs and reports the check. A test named by a line "soak: NAME" runs
# last, and its failure is reported without failing the run.
set -eu
cd "$(dirname "$0")/.."
build=$1
if [ -f KNOWN-RED.txt ]; then
  echo "known red, passed over:"
  cat KNOWN-RED.txt
  OLEANDER_KNOWN_RED=$(sed -n 's/^test: *counted_[^ ]* *\([^ ]*\).*/\1/p' KNOWN-RED.txt | paste -sd' ' -)
  export OLEANDER_KNOWN_RED
  filters=$(grep -v '^test: *counted_' KNOWN-RED.txt | sed -n 's/^test: *[^ ]* *\([^ ]*\).*/\1/p' | sed 's/^/!/' | paste -sd: -)
  [ -z "$filters" ] || export BOOST_TEST_RUN_FILTERS="$filters"
fi
known_red_soaks=""
if [ -f KNOWN-RED.txt ]; then
  known_red_soaks=$(sed -n 's/^soak: *\([^ ]*\).*/\1/p' KNOWN-RED.txt | paste -sd'|' -)
fi
ctest --test-dir "$build" --output-on-failure -j 4 ${known_red_soaks:+-E "^($known_red_soaks)\$"}
if [ -n "$known_red_soaks" ]; then
  ctest --test-dir "$build" --output-on-failure -j 2 -R "^($known_red_soaks)\$" ||
    echo "known red, failed in this run: see above"
fi
