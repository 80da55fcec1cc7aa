#!/bin/sh
# Runs a case of the stand-ins with the programs of the deploy file:
# run-case.sh NAME FOLDER. Exit: 0 the rule held, 1 it was broken, 2 not run.
set -u
cd "$(dirname "$0")/.."
[ -x target/fuchsiawardd ] && [ -x review/stand ] || exit 2
REVIEW_DIR=$(mktemp -d) || exit 2
export REVIEW_DIR
trap 'rm -rf "$REVIEW_DIR"' EXIT
timeout -k 1 118 review/stand "$1" "$2/record.txt"
code=$?
[ $code -le 1 ] && exit $code
exit 2
