#!/bin/sh
# See claim.txt. Exit status: 1 if the rule was broken, 0 if it held, 2 if the
# case could not run.
cd "$(dirname "$0")/../.." || exit 2
timeout -k 5 100 target/fwlab poison review/10
status=$?
[ $status -le 1 ] || status=2
exit $status
