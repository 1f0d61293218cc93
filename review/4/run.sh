#!/usr/bin/env bash
# Runs the case once; see claim.txt. TROUBLE=0 runs it without the disruption.
cd "$(dirname "$0")/../.." || exit 2
[ -x review/bin/retire ] || exit 2
exec review/bin/retire review/4
