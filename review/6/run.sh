#!/usr/bin/env bash
# Plays the case. Exit codes: 1 the rule was broken, 0 it held, 2 the case could not run.
# review/build-2.sh builds what it starts. TROUBLE=0 plays it without the disruption.
cd "$(dirname "$0")" || exit 2
exec ../../target/cases-2 wide ../.. record.txt
