#!/bin/sh
# Builds what the scripts of the third review start beside the project's own programs.
set -eu
cd "$(dirname "$0")/.."
go test -c -o target/standin3 ./review/standin3
