#!/bin/sh
# Short seeded runs of the fault soak, and those of tests/soak/seeds.txt.
set -eu
cd "$(dirname "$0")/../.."
grep -v '^#' tests/soak/seeds.txt | while read -r args; do
    # shellcheck disable=SC2086
    build/fwsoak $args < /dev/null
done
echo "soak.sh: passed"
