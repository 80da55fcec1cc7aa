#!/usr/bin/env bash
# An order sent with one Idempotency-Key through all instances concurrently,
# and again later, must take effect once. Each response must tell its outcome.
. "$(dirname "$0")/common.sh"

up --instances 3
key=$(field .keys.skippers)

# order INSTANCE OUT BODY
order() {
    curl -s -m 20 -o "$dir/$2" -w '%{http_code}' -X POST \
        -H "Authorization: Bearer $key" -H 'Idempotency-Key: nomination-7' \
        -H 'Content-Type: application/json' -d "$3" \
        "$(field ".callers[$1]")/v1/services/grid-desk/orders" > "$dir/$2.status"
}

taken() {
    local url
    for url in $(field '.stands | to_entries[] | select(.key | startswith("grid-desk")) | .value'); do
        curl -s "$url/journal"
    done | jq -c 'select(.effect == "order")' | wc -l
}

asking=
for i in 0 1 2; do
    order "$i" "at-once.$i" '{"mw":3}' &
    asking="$asking $!"
done
# shellcheck disable=SC2086
wait $asking
[ "$(taken)" = 1 ] || breach "$(taken) orders took effect"
for i in 0 1 2; do
    case $(cat "$dir/at-once.$i.status") in
    201) cmp -s "$dir/at-once.$i" "$dir/at-once.0" || [ "$(cat "$dir/at-once.0.status")" != 201 ] ||
        breach "answers differ" ;;
    409) [ "$(jq -r .error.ran "$dir/at-once.$i")" = maybe ] || breach "$(cat "$dir/at-once.$i")" ;;
    *) breach "instance $i: $(cat "$dir/at-once.$i.status") $(cat "$dir/at-once.$i")" ;;
    esac
done
order 1 later '{"mw":3}'
[ "$(cat "$dir/later.status")" = 201 ] || breach "later: $(cat "$dir/later")"
order 2 other '{"mw":4}'
[ "$(cat "$dir/other.status")" = 422 ] || breach "other body: $(cat "$dir/other.status")"
[ "$(taken)" = 1 ] || breach "$(taken) orders took effect"
echo "three at once: $(cat "$dir"/at-once.*.status | sed 's/.../& /g'); later: 201; other body: 422; one order in the journals"
