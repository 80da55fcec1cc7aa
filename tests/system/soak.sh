#!/bin/sh
# Short seeded runs of the fault soak: the seeds of tests/soak/seeds.txt, side
# by side. Runs listed in KNOWN-RED.txt are printed when they fail, and don't
# count.
set -eu
cd "$(dirname "$0")/../.."
logs=$(mktemp -d)
trap 'rm -rf "$logs"' EXIT
n=0
while read -r args; do
    case "$args" in '' | '#'*) continue ;; esac
    n=$((n + 1))
    echo "$args" > "$logs/$n.args"
    # shellcheck disable=SC2086
    (build/fwsoak $args > "$logs/$n.log" 2>&1 < /dev/null &&
        echo held > "$logs/$n.held") &
done < tests/soak/seeds.txt
wait
failed=0
for i in $(seq $n); do
    args=$(cat "$logs/$i.args")
    cat "$logs/$i.log"
    if [ -e "$logs/$i.held" ]; then
        continue
    elif grep -qF "build/fwsoak $args;" KNOWN-RED.txt; then
        echo "KNOWN RED: fwsoak $args"
    else
        echo "FAILED: fwsoak $args"
        failed=1
    fi
done
[ "$n" -gt 0 ] && [ "$failed" = 0 ]
echo "soak.sh: passed"
