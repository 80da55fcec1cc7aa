#!/usr/bin/env bash
# An instance is killed during its streams: the engines must release its
# requests within limit_s, and streams of other instances must complete.
. "$(dirname "$0")/common.sh"
down_may_fail=1

limit_s=15
up --instances 3 --stand "--grace-ms 60000"
key=$(field .keys.skippers)
make_request "$dir/lost.json" 300 4000
make_request "$dir/kept.json" 500 300
asking=
for i in 1 2 3; do
    ask "$(field '.callers[0]')" "$key" "$dir/lost.json" "$dir/lost.$i" &
    asking="$asking $!"
done
ask "$(field '.callers[1]')" "$key" "$dir/kept.json" "$dir/kept" &
kept=$!
streaming() {
    grep -lq '^data: ' "$dir/lost.1" && grep -lq '^data: ' "$dir/lost.2" &&
        grep -lq '^data: ' "$dir/lost.3" && grep -lq '^data: ' "$dir/kept"
} 2> /dev/null
wait_for 15 streaming || breach "the streams did not start"

kill -KILL "$(field '.pids["instance-0"]')"
start=$(date +%s%N)
orphans() {
    held | grep -c '^instance-0\.' || true
}
freed() {
    [ "$(orphans)" = 0 ]
}
[ "$(orphans)" = 3 ] || breach "$(orphans) requests held right after the kill, not 3"
wait_for $limit_s freed || breach "after $limit_s s engines still hold: $(held)"
freed_ms=$((($(date +%s%N) - start) / 1000000))
wait $kept || breach "the other instance's stream was cut"
whole "$dir/kept" 300 || breach "the other instance's stream is not whole"
# shellcheck disable=SC2086
wait $asking || true
echo "3 requests of the killed instance freed after $freed_ms ms; 300 pieces of the other came whole"
