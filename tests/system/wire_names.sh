#!/bin/sh
# The platform's wire form may change without the product: its names stand in
# platform/ only. A name that leaks is noticed here.
set -u
names='Expect-Instance|Server-Stamp|Prompt-Prefix|Token-Counts|Kv-Source'
names="$names|Kv-Hold|Not-Executed|Request-Priority|Length-Hint|Deadline-Ms"
names="$names|ColdRemainingMs|TrafficSplit|UncachedTokens|PathPrefix|ApiKeys"
names="$names|StickySessions|AllowAnonymous|HandleId|KvCapacityTokens"
names="$names|FencingToken|EndOffset|keyed\\.(op|servers)|HandleTtlS"
names="$names|/-/(log|order|report|kv|hold|ready)|fleetbench"
found=$(grep -rnE "$names" src --include='*.[ch]')
[ -z "$found" ] && exit 0
echo "names of the platform's wire outside platform/:"
echo "$found"
exit 1
