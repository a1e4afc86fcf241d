#!/bin/sh
# Regenerates src/gen from proto/. Run it after each change of a .proto file and commit both.
set -eu
cd "$(dirname "$0")/.."
protoc --proto_path=proto --cpp_out=src/gen proto/*.proto
