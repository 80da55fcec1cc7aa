#!/bin/sh
# docs/OPERATIONS.md must have a row for each event that the relay logs and
# each metric that it serves, and none for an event that nothing logs.
set -eu
dir=$(mktemp -d)
trap 'rm -rf "$dir"' EXIT
page=docs/OPERATIONS.md
src="src/relay src/relayd src/io/logger.c"
# The event is the first lower-case string literal of the call.
cat $(find $src -name '*.c') | tr '\n' ' ' |
    grep -oE 'Fw_(RelayActions|Logger)_Log\( *[^";]*("[a-z_]+"( : "[a-z_]+")?)' |
    grep -oE '"[a-z_]+"' | tr -d '"' | sort -u > "$dir/logged"
sed -n '/^## Events/,/^## Metrics/p' $page | grep '^|' | cut -d'|' -f2 |
    grep -oE '`[a-z_]+`' | tr -d '`' | sort -u > "$dir/told"
sed -n '/^## Metrics/,/^## Settings/p' $page | grep '^|' | cut -d'|' -f2 |
    grep -oE '`_?[a-z_]+[`{]' | tr -d '`{' | sort -u > "$dir/told_metrics"
bad=0
for e in $(cat "$dir/logged"); do
    grep -qx "$e" "$dir/told" || { echo "no row for event $e"; bad=1; }
done
for e in $(cat "$dir/told"); do
    [ "$e" = log_lines_dropped ] || grep -qx "$e" "$dir/logged" ||
        { echo "nothing logs $e"; bad=1; }
done
cat $(find src/relay src/relayd src/http/*.c src/io/logger.c -name '*.c') |
    grep -oE '"fw_[a-z_]+"' | tr -d '"' | sort -u > "$dir/served"
for m in $(cat "$dir/served"); do
    grep -q "$m" $page && continue
    # Rows of several metrics abbreviate the later ones: `fw_requests_total`,
    # `_passed_total`.
    short=$(echo "$m" | sed 's/^fw_[a-z]*_/_/')
    grep -qx -- "$short" "$dir/told_metrics" || { echo "no row for $m"; bad=1; }
done
[ "$bad" = 0 ]
echo "$(wc -l < "$dir/logged") events and $(wc -l < "$dir/served") metrics have their rows"
