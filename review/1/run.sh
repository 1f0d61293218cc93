#!/usr/bin/env bash
# Runs the case once and writes what was sent, answered and run to record.txt beside this
# script; see claim.txt. TROUBLE=0 runs it without the disruption.
cd "$(dirname "$0")/../.." || exit 2
[ -x review/bin/drain ] || exit 2
exec review/bin/drain review/1/record.txt
