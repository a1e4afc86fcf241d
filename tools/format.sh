#!/bin/sh
# Formats every C++ file of the project. With --check, fails if a file is not formatted.
set -eu
cd "$(dirname "$0")/.."
mode=-i
[ "${1:-}" = --check ] && mode="--dry-run --Werror"
# shellcheck disable=SC2086 # The mode may consist of two words.
git ls-files -co --exclude-standard '*.h' '*.cc' | grep -v '^src/gen/' |
  xargs -r -P "$(nproc)" -n 8 clang-format-19 $mode
