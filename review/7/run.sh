#!/usr/bin/env bash
# Runs the case once: exit code 1 if the rule is broken, 0 if it holds, 2 if the case could not run.
# With TROUBLE=0 it does the same without the disruption.
cd "$(dirname "$0")/../.." || exit 2
exec target/review-2/stand-ins young-streams review/7/record.txt
