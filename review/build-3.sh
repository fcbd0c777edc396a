#!/usr/bin/env bash
# Builds the stand-ins of the cases 11 to 13 into target/, beside the program of the deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -o target/review3 ./review/standin3
