#!/usr/bin/env bash
# Builds the stand-ins of the cases, of Go's own library only. The program of the deploy file is
# built by its own line.
set -euo pipefail
cd "$(dirname "$0")/.."
go test -c -o target/review-standin ./review/standin
