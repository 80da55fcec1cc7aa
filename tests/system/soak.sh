#!/bin/sh
# Short seeded runs of the fault soak, and those of tests/soak/seeds.txt. Runs
# listed in KNOWN-RED.txt are printed when they fail, and don't count.
set -eu
cd "$(dirname "$0")/../.."
grep -v '^#' tests/soak/seeds.txt | while read -r args; do
    # shellcheck disable=SC2086
    if ! build/fwsoak $args < /dev/null; then
        grep -qF "build/fwsoak $args;" KNOWN-RED.txt || exit 1
        echo "KNOWN RED: fwsoak $args"
    fi
done
echo "soak.sh: passed"
