#!/usr/bin/env bash
# Operator commands against three instances: keys, teams, draining, sheets and
# conflicting changes, as documented in docs/operations.
set -u
dir=$(mktemp -d)
fw=build/fuchsiaward
bad=0
trap 'tools/fleet down --dir "$dir" > /dev/null 2>&1; rm -rf "$dir"' EXIT
tools/fleet up --instances 3 --dir "$dir" || exit 1
export FUCHSIAWARD_FLEET=$dir/fleet.json

# expect STATUS COMMAND...
expect() {
    local want=$1
    shift
    "$@" > "$dir/out" 2> "$dir/err"
    local got=$?
    if [ $got != "$want" ]; then
        echo "$*: status $got, expected $want"
        cat "$dir/out" "$dir/err"
        bad=1
    fi
}

# status KEY: prints the HTTP status that each instance returns for the key
status() {
    local url
    for url in $(jq -r '.callers[]' "$dir/fleet.json"); do
        curl -s -o /dev/null -w '%{http_code} ' -H "Authorization: Bearer $1" \
            "$url/v1/models"
    done
}

same() {
    if [ "$1" != "$2" ]; then
        echo "expected: $1"
        echo "found:    $2"
        bad=1
    fi
}

expect 0 $fw show config
expect 0 $fw show instances
expect 64 $fw show moon
expect 7 env FUCHSIAWARD_FLEET= FUCHSIAWARD_KEY=wrong $fw show config \
    --instances "$(jq -r '.operators | join(",")' "$dir/fleet.json")"

# the example of docs/operations/sheet.md applies to the initial configuration
expect 0 $fw sheet check docs/example-sheet.csv
same 3 "$(grep -c '^change ' "$dir/out")"

# the record of the first operator is valid
expect 0 $fw operator first bruno
jq -cRs '{records: [rtrimstr("\n")]}' "$dir/out" |
    curl -sf -o /dev/null -d @- "$(jq -r .stands.log "$dir/fleet.json")/log/config" ||
    { echo "the record was not appended"; bad=1; }
bruno=$(sed -n 's/^The key: //p' "$dir/err")

# keys
expect 0 $fw team set crews-2 --rate 1000 --burst 2000 --wait
expect 0 env FUCHSIAWARD_FLEET= FUCHSIAWARD_KEY="$bruno" $fw audit --max 1 \
    --instances "$(jq -r '.operators[0]' "$dir/fleet.json")"
expect 0 $fw key give crews-2 --wait
key=$(cat "$dir/out")
digest=$(printf %s "$key" | sha256sum | cut -d' ' -f1)
same "200 200 200 " "$(status "$key")"
expect 0 $fw key withdraw "$digest" --wait
same "401 401 401 " "$(status "$key")"
expect 3 $fw key give nobody

# drain
expect 0 $fw upstream drain decode-0 --wait
same true "$($fw show upstreams decode-0 --json | jq '.[0].value.drained')"
expect 0 $fw upstream undrain decode-0 --wait
expect 3 $fw upstream drain decode-9

# orders
expect 0 $fw pool set main --serves tides@1,tides@2 --wait
expect 0 $fw show orders
expect 0 $fw setting set on-withdraw finish --wait
same '"finish"' "$($fw show settings --json | jq '.[0].value.value')"

# the sheet
expect 0 $fw sheet export "$dir/sheet.csv"
expect 0 $fw sheet check "$dir/sheet.csv"
sed -i 's/^team,crews-2,1000,2000/team,crews-2,1500,2000/' "$dir/sheet.csv"
expect 0 $fw team set crews-2 --burst 2500
expect 3 $fw sheet apply "$dir/sheet.csv"
grep -q 'row 4, column name: found crews-2, by operator since' "$dir/out" ||
    { echo "no conflict named"; cat "$dir/out"; bad=1; }
expect 0 $fw sheet export "$dir/sheet.csv"
sed -i 's/^team,crews-2,1000,2500/team,crews-2,1500,2500/' "$dir/sheet.csv"
expect 0 $fw sheet apply "$dir/sheet.csv" --wait
same 1500 "$($fw show teams crews-2 --json | jq '.[0].value.rate')"

# a change based on an outdated version
printf '{"items":[{"kind":"team","name":"crews-2","was":1,"value":{"rate":1,"burst":1}}]}' \
    > "$dir/change.json"
expect 2 $fw change "$dir/change.json"
expect 0 $fw audit --max 1
grep -q conflict "$dir/out" || { echo "refused change not in the audit"; bad=1; }

tools/fleet down --dir "$dir" || bad=1
exit $bad
