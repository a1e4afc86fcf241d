#!/bin/sh
# Runs clang-tidy on the project's sources. BUILD is the build folder (default: build).
set -eu
cd "$(dirname "$0")/.."
build=${BUILD:-build}
git ls-files -co --exclude-standard 'src/*.cc' 'platform/*.cc' 'apps/*.cc' 'docs/*.cc' 'test/*.cc' | grep -v '^src/gen/' |
  grep -v '^test/fuzz/' |
  xargs -r -P "$(nproc)" -n 1 clang-tidy-19 -p "$build" --quiet 2> "$build/tidy-stderr.txt"
