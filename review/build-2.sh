#!/usr/bin/env bash
# Builds the stand-ins of the scripts of this review. The build line of the deploy file runs
# before it.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -o target/cases-2 ./review/cases-2
