#!/usr/bin/env bash
# Orders under faults: lost response of the log, log down, lost response of
# the server, killed instance. No order may take effect twice, and none that
# was reported as not executed may take effect.
. "$(dirname "$0")/common.sh"
down_may_fail=1

up --instances 2
key=$(field .keys.skippers)
log=$(field .stands.log)
desks=$(field '.stands | to_entries[] | select(.key | startswith("grid-desk")) | .value')

# order INSTANCE KEY: sends an order and prints "STATUS RAN" of the response.
order() {
    local status
    status=$(curl -s -m 20 -o "$dir/answer" -D "$dir/headers" -w '%{http_code}' \
        -X POST -H "Authorization: Bearer $key" -H "Idempotency-Key: $2" \
        -H 'Content-Type: application/json' -d '{"mw":3}' \
        "$(field ".callers[$1]")/v1/services/grid-desk/orders")
    echo "$status $(jq -r '.error.ran // "yes"' "$dir/answer")"
}

# taken KEY: prints how many times the order took effect.
taken() {
    local url
    for url in $desks; do
        curl -s "$url/journal"
    done | jq -c --arg k "$1" 'select(.effect == "order" and .id == $k)' | wc -l
}

fault() {
    curl -sf -d "$2" "$1/control/fault" > /dev/null
}

clear_faults() {
    curl -sf -X DELETE "$1/control/fault" > /dev/null
}

# expect WHAT GOT PATTERN
expect() {
    # shellcheck disable=SC2254
    case $2 in
    $3) echo "$1: $2" ;;
    *) breach "$1: got $2, expected $3: $(cat "$dir/answer")" ;;
    esac
}

once() {
    [ "$(taken "$1")" = 1 ] || breach "$1 took effect $(taken "$1") times"
}

fault "$log" '{"name":"lost-answer","path":"/log/idem-","count":1}'
expect "the log's answer lost" "$(order 0 k1)" "201 yes"
expect "its repeat" "$(order 1 k1)" "201 yes"
once k1

fault "$log" '{"name":"refuse","status":503,"path":"/log/idem-"}'
expect "the log down" "$(order 0 k2)" "503 no"
grep -qi '^retry-after:' "$dir/headers" || breach "no Retry-After"
[ "$(taken k2)" = 0 ] || breach "'not run' was not true"
clear_faults "$log"
accepted() {
    [ "$(order 1 k2)" = "201 yes" ]
}
wait_for 30 accepted || breach "not accepted after the log came back: $(cat "$dir/answer")"
once k2

for url in $desks; do
    fault "$url" '{"name":"lost-answer","path":"/orders"}'
done
expect "the server's answer lost" "$(order 0 k3)" "502 maybe"
for url in $desks; do
    clear_faults "$url"
done
expect "its repeat" "$(order 1 k3)" "409 maybe"
once k3

for url in $desks; do
    fault "$url" '{"name":"slow","path":"/orders","ms":20000}'
done
order 0 k4 > /dev/null &
asking=$!
begun() {
    [ "$(taken k4)" = 1 ]
}
wait_for 10 begun || breach "the slow order was never sent"
kill -KILL "$(field '.pids["instance-0"]')"
wait $asking || true
for url in $desks; do
    clear_faults "$url"
done
expect "the instance killed, repeat through the other" "$(order 1 k4)" "409 maybe"
once k4

fault "$log" '{"name":"refuse","status":503}'
expect "the log down again" "$(order 1 k5)" "503 no"
kill -TERM "$(field '.pids["instance-1"]')"
wait_for 5 test -s "$dir/instance-1.rc" ||
    breach "a refused order holds up the planned stop"
echo "planned stop after a refused order, the log down: exit status $(cat "$dir/instance-1.rc")"
