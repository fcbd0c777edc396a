#!/usr/bin/env bash
# Plays this case; see claim.txt. Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run.
# TROUBLE=0 plays it without the disruption. Needs the build of the deploy file and review/build-3.sh.
set -uo pipefail
here="$(cd "$(dirname "$0")" && pwd)"
root="$(cd "$here/../.." && pwd)"
for program in "$root/target/peridotlock" "$root/target/review3"; do
  [ -x "$program" ] || { echo "$program is missing" >&2; exit 2; }
done
exec timeout --preserve-status --kill-after=2 117 "$root/target/review3" schedule "$root" "$here/record.txt"
