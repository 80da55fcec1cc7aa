#!/usr/bin/env bash
# Completions with long and short prompts must be complete, engines must
# release them, and no upstream may see a caller's or operator's key.
. "$(dirname "$0")/common.sh"

up --instances 2
key=$(field .keys.skippers)
make_request "$dir/long.json" 4000 40
make_request "$dir/short.json" 3 12
for i in 0 1; do
    url=$(field ".callers[$i]")
    ask "$url" "$key" "$dir/long.json" "$dir/long.$i"
    whole "$dir/long.$i" 40 || breach "instance $i: not whole: $(pieces "$dir/long.$i")"
    ask "$url" "$key" "$dir/short.json" "$dir/short.$i"
    whole "$dir/short.$i" 12 || breach "instance $i: not whole: $(pieces "$dir/short.$i")"
done
grep -h '"fuchsiaward"' "$dir"/long.* | sed 's/^data: //' | jq -c .fuchsiaward

status=$(curl -s -o /dev/null -w '%{http_code}' -H 'Authorization: Bearer wrong' \
    -d "@$dir/short.json" "$(field '.callers[0]')/v1/completions")
[ "$status" = 401 ] || breach "a wrong key got $status"

for url in $(field '.stands[]'); do
    curl -s "$url/journal"
done > "$dir/journal"
lines=$(wc -l < "$dir/journal")
[ "$lines" -gt 8 ] || breach "the journals hold only $lines lines"
for k in $(field '.keys[]') $(field .operator_key); do
    ! grep -qF "$k" "$dir/journal" || breach "an upstream saw a key"
done
! grep -qi '"authorization"' "$dir/journal" || breach "an upstream saw an Authorization header"
wait_for 5 nothing_held || breach "engines still hold: $(held)"
echo "$lines journal lines, no key in them"
