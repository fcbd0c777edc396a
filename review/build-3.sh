#!/usr/bin/env bash
# Builds the stand-ins of the cases into target/, beside the program of the deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -o target/review3 ./review/standin3
