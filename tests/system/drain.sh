#!/usr/bin/env bash
# SIGTERM during a stream: the instance becomes unready, refuses new requests
# as not executed, completes the stream and exits with status 0.
. "$(dirname "$0")/common.sh"

up --instances 2
key=$(field .keys.skippers)
url=$(field '.callers[0]')
make_request "$dir/request.json" 200 100
ask "$url" "$key" "$dir/request.json" "$dir/answer" &
asking=$!
started() {
    grep -q '^data: ' "$dir/answer" 2> /dev/null
}
wait_for 10 started || breach "no first piece"

kill -TERM "$(field '.pids["instance-0"]')"
not_ready() {
    [ "$(curl -s -m 2 -o /dev/null -w '%{http_code}' "$url/readyz")" != 200 ]
}
wait_for 2 not_ready || breach "still ready after SIGTERM"
! whole "$dir/answer" 100 || breach "the stream ended before the check"
ran=$(curl -s -m 5 -o "$dir/refusal" -D - -H "Authorization: Bearer $key" \
    -d "@$dir/request.json" "$url/v1/completions" | tr -d '\r' |
    sed -n 's/^Fuchsiaward-Ran: //Ip')
# If the port is closed, there is no response, and nothing was sent.
[ "$ran" = no ] || [ ! -s "$dir/refusal" ] ||
    breach "a new request got: $(cat "$dir/refusal")"

wait $asking || breach "the stream was cut"
whole "$dir/answer" 100 || breach "not whole: $(pieces "$dir/answer")"
wait_for 10 test -s "$dir/instance-0.rc" || breach "the instance does not end"
[ "$(cat "$dir/instance-0.rc")" = 0 ] || breach "exit status $(cat "$dir/instance-0.rc")"
echo "100 pieces after SIGTERM, new request: ran ${ran:-not sent}, exit status 0"
