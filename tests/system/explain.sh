#!/bin/sh
# `fuchsiaward explain` must find the cause of a failed request from its id
# and the relay's log, in the three cases of docs/OPERATIONS.md.
set -eu
dir=$(mktemp -d)
pids=
finish() {
    for p in $pids; do kill "$p" 2> /dev/null || true; done
    wait
    rm -rf "$dir"
}
trap finish EXIT
# Prints a field of the event `started`, which has the relay's addresses.
at() {
    sed -n "s/.*\"event\":\"started\".*\"$1\":\"\([^\"]*\)\".*/\1/p" "$dir/log"
}
begin() {
    build/fwwire ${1:+--fault "$1"} > "$dir/store" & pids="$pids $!"
    until [ -s "$dir/store" ]; do sleep 0.05; done
    cat > "$dir/ini" << EOF
[relay]
name = n1
domain = a
[listen]
callers = 127.0.0.1:0
ready = 127.0.0.1:0
metrics = 127.0.0.1:0
peers = 127.0.0.1:0
[store]
address = $(cat "$dir/store")
[policy]
queue-ms = 100
EOF
    build/fuchsiawardd "$dir/ini" > "$dir/log" & pids="$pids $!"
    until [ -n "$(at ready)" ] &&
        curl -sf -o "$dir/null" "$(at ready)/readyz"; do sleep 0.05; done
}
end() {
    for p in $pids; do kill "$p"; done
    for p in $pids; do wait "$p" || true; done
    pids=
    rm -f "$dir/store"
}
ask() {
    path=$1
    shift
    curl -sN --max-time 10 "$(at callers)$path" -o "$dir/answer" \
        -w '%{http_code}' -H 'Host: demo.example' \
        -H 'Authorization: Bearer demo-key' "$@" || true
}
must() {
    grep -q "$2" "$1" || { echo "no $2 in:"; cat "$1"; exit 1; }
}
why() { build/fuchsiaward explain --log "$dir/log" "$1" > "$dir/why"; }

# Refused within the rate limit because no engine has capacity.
begin ""
for n in 1 2 3 4 5 6 7 8 9 10 11 12; do
    ask /outlook/x -H "Request-Id: fill-$n" -H 'Token-Counts: 5000,15000' \
        -d x > "$dir/code-$n" &
done
sleep 0.5
code=$(ask /outlook/x -H 'Request-Id: q-1' -H 'Token-Counts: 5000,34000' -d x)
[ "$code" = 503 ] || { echo "wanted 503, got $code"; exit 1; }
why q-1
must "$dir/why" 'refused .*reason=no_room.*ran=no'
curl -s "$(at metrics)/metrics" > "$dir/metrics"
must "$dir/metrics" 'fw_refusals_total{reason="no_room"}'
must "$dir/metrics" 'fw_phase_first_seconds_bucket'
end

# Interrupted stream: the log names the decode engine.
begin break
ask /outlook/x -H 'Request-Id: b-1' -H 'Token-Counts: 500,3600' -d x \
    > "$dir/code"
must "$dir/answer" 'piece 2'
why b-1
must "$dir/why" 'sent .*server=d'
must "$dir/why" 'upstream_failed .*error=-'
must "$dir/why" 'cut .*server=d'
end

# Order answered 502: its outcome is unknown, and it is not sent again.
begin reset
code=$(ask /order/x -H 'Request-Id: o-1' -d '{}')
[ "$code" = 502 ] || { echo "wanted 502, got $code"; exit 1; }
why o-1
must "$dir/why" 'refused .*status=502.*reason=upstream_lost.*ran=maybe'
[ "$(grep -c ' sent ' "$dir/why")" = 1 ]
end
echo "explained"
