#!/bin/sh
# Names of the platform's wire format must not be used outside platform/, so
# that the format can change independently. src/ is searched for them.
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
