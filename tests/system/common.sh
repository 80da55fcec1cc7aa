# Helpers for system tests with a fleet of real processes. The fleet uses a
# temporary directory and is stopped when the script exits.
set -eu
root=$(cd "$(dirname "$0")/../.." && pwd)
dir=$(mktemp -d)
script=$(basename "$0")

finish() {
    rc=$?
    trap - EXIT
    if [ -e "$dir/fwstand.pid" ]; then
        "$root/tools/fleet" down --dir "$dir" > "$dir/down.out" 2>&1 ||
            [ -n "${down_may_fail:-}" ] || {
            cat "$dir/down.out"
            echo "$script: the fleet did not stop cleanly"
            rc=1
        }
    fi
    if [ $rc = 0 ]; then
        rm -rf "$dir"
        echo "$script: passed"
    else
        for f in "$dir"/instance-*.log; do
            echo "== $f"
            grep -v '"event":"role_' "$f" | tail -n 12
        done
        echo "$script: FAILED; logs are in $dir"
    fi
    exit $rc
}
trap finish EXIT
trap 'exit 130' INT TERM

breach() {
    echo "$script: $*"
    exit 1
}

# up ARGUMENTS...: starts a fleet with the arguments of tools/fleet up.
up() {
    "$root/tools/fleet" up --dir "$dir" "$@"
}

field() {
    jq -r "$1" "$dir/fleet.json"
}

# wait_for SECONDS COMMAND...: retries the command until it succeeds.
wait_for() {
    local tries=$(($1 * 20))
    shift
    while [ $tries -gt 0 ]; do
        "$@" && return 0
        tries=$((tries - 1))
        sleep 0.05
    done
    return 1
}

# make_request FILE PHRASES MAX_TOKENS: writes a streamed completion request
# whose prompt is a phrase repeated PHRASES times.
make_request() {
    # shellcheck disable=SC2046
    jq -n --arg p "$(printf "survey of pier $3 %.0s" $(seq "$2"))" \
        --argjson max "$3" \
        '{model: "tides", stream: true, max_tokens: $max, prompt: $p}' > "$1"
}

# ask URL KEY REQUEST OUT: writes the streamed response to OUT as it arrives.
ask() {
    curl -sN -m 40 -H "Authorization: Bearer $2" \
        -H 'Content-Type: application/json' -d "@$3" "$1/v1/completions" > "$4"
}

# pieces FILE: prints the indices of the pieces in a response on one line.
pieces() {
    sed -n 's/^data: {/{/p' "$1" | jq -r '.choices[0].text // empty' |
        tr -d '\r' | sed -n 's/.*-\([0-9]*\) *$/\1/p' | tr '\n' ' '
}

# whole FILE N: whether the response has pieces 0 to N - 1, each once and in
# order, and [DONE].
whole() {
    [ "$(pieces "$1")" = "$(seq -s ' ' 0 $(($2 - 1))) " ] &&
        grep -q '^data: \[DONE\]' "$1"
}

# Prints the ids of the requests that engines hold, one per line.
held() {
    local url
    for url in $(field '.stands | to_entries[] | select(.key | test("^(prefill|decode)-")) | .value'); do
        curl -s -m 2 "$url/v1/requests" | jq -r '.requests[].id'
    done
}

nothing_held() {
    [ -z "$(held)" ]
}
