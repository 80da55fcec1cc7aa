#!/usr/bin/env bash
# Rolling restart of all instances under load. Streams on the instance that
# stops must complete, and new requests must be served by another instance.
. "$(dirname "$0")/common.sh"

instances=9
up --instances $instances
key=$(field .keys.skippers)
make_request "$dir/request.json" 200 40

# balanced INSTANCE OUT: like a load balancer, tries the next instance if one
# is unready or refuses the request as not executed.
balanced() {
    local url out=$2 i
    for i in 0 1 2; do
        url=$(field ".callers[(($1 + $i) % $instances)]")
        curl -sf -m 2 -o /dev/null "$url/readyz" || continue
        ask "$url" "$key" "$dir/request.json" "$out" || true
        grep -q '"ran":"no"' "$out" || [ ! -s "$out" ] || return 0
    done
}

reading() {
    grep -q '^data: ' "$dir/answer.$1" 2> /dev/null
}

n=0
pids=
for i in $(seq 0 $((instances - 1))); do
    for k in 0 0 1 2; do
        balanced $((i + k)) "$dir/answer.$n" &
        pids="$pids $!"
        n=$((n + 1))
    done
    wait_for 10 reading $((n - 4)) || breach "no first piece"
    "$root/tools/fleet" restart --dir "$dir" --instance "instance-$i" ||
        breach "instance-$i"
done
# shellcheck disable=SC2086
wait $pids
for k in $(seq 0 $((n - 1))); do
    whole "$dir/answer.$k" 40 ||
        breach "answer $k: $(tail -c 300 "$dir/answer.$k")"
done
echo "$n of $n answers whole over $instances planned replacements"
