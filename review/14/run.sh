#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run. TROUBLE=0 leaves the disruption out.
set -u
here="$(cd "$(dirname "$0")" && pwd)"
cd "$here/../.." || exit 2
[ -x target/review/stand-ins-3 ] && [ -x target/release/jujubedoor-platform ] || exit 2
exec target/review/stand-ins-3 healed-cut "$here/record.txt"
