/*
 * Scripted tests of the relay's core: the server list, peers, team limits,
 * draining, and orders to engines.
 */
#include "tests/base/suite.h"
#include "tests/relay/script.h"

static const struct fw_relay_script scripts[] = {
    {.name = "a draining server gets no new request",
     .text = "rules 1\n"
             "fresh 0\n"
             "server s1 plain none\n"
             "server s2 plain none draining\n"
             "open 1 /read/x key=ka\n"
             "  ask 1 run s1 for 1 team=a left=10000\n"
             "server s1 plain none draining\n"
             "  forget s1:1\n"
             "open 2 /read/x key=ka\n"
             "  refuse 2 503 no_server ran=no later\n"},
    /* Guards against servers that left being used because a peer returns. */
    {.name = "an outage that ended before a peer's return gives no grace",
     .text = "rules 1\n"
             "fresh 0\n"
             "server s1 plain none\n"
             "server s2 plain none\n"
             "member n2 store-lost\n"
             "at 3000\n"
             "fresh 3000\n"
             "member n2 store_back_ms=2500\n"
             "unlisted s1\n"
             "  forget s1:1\n"
             "open 1 /read/x key=ka\n"
             "  ask 1 run s2 for 1 team=a left=10000\n"},
    {.name = "a peer that has restarted since an outage gives no grace",
     .text = "rules 1\n"
             "fresh 0\n"
             "server s1 plain none\n"
             "server s2 plain none\n"
             "member n2 store-lost\n"
             "at 3000\n"
             "fresh 3000\n"
             "member n3\n"
             "member n2\n"
             "unlisted s1\n"
             "  forget s1:1\n"
             "open 1 /read/x key=ka\n"
             "  ask 1 run s2 for 1 team=a left=10000\n"},
    {.name = "an outage that a peer has just seen end gives grace",
     .text = "rules 1\n"
             "fresh 0\n"
             "server s1 plain none\n"
             "member n2 store-lost\n"
             "at 3000\n"
             "fresh 3000\n"
             "member n2 store_back_ms=200\n"
             "unlisted s1\n"
             "open 1 /order/x key=ka\n"
             "  ask 1 run s1 for 1 team=a left=10000\n"
             "at 4900\n"
             "tick\n"
             "at 5000\n"
             "tick\n"
             "  forget s1:1\n"},
    /*
     * Guards against dropping all servers at once after a store outage, in
     * which healthy servers could not renew their entries.
     */
    {.name = "entries that expired in a store outage get two seconds of grace",
     .text = "rules 1\n"
             "fresh 0\n"
             "server s1 plain none\n"
             "server s2 plain none\n"
             "at 1000\n"
             "store-back\n"
             "unlisted s1\n"
             "unlisted s2\n"
             "open 1 /read/x key=ka\n"
             "  ask 1 run s1 for 1 team=a left=10000\n"
             "at 2000\n"
             "server s1 plain none\n"
             "at 3300\n"
             "tick\n"
             "  forget s2:1\n"
             "open 2 /read/x key=ka\n"
             "  ask 2 run s1 for 2 team=a left=10000\n"
             "open 3 /read/x key=ka\n"
             "  ask 3 run s1 for 3 team=a left=10000\n"},
    /* Guards against an outage's grace for a server that left before it. */
    {.name = "a server that alone is unlisted after an outage gets nothing",
     .text = "rules 1\n"
             "fresh 0\n"
             "server s1 plain none\n"
             "server s2 plain none\n"
             "at 1000\n"
             "store-back\n"
             "unlisted s1\n"
             "open 1 /read/x key=ka\n"
             "  ask 1 run s2 for 1 team=a left=10000\n"
             "open 2 /read/x key=ka\n"
             "  ask 2 run s2 for 2 team=a left=10000\n"
             "server s1 plain none\n"
             "open 3 /read/x key=ka\n"
             "  ask 3 run s1 for 3 team=a left=10000\n"},
    /* Guards against one lost response of the store that hides removals. */
    {.name = "a store that did not answer for a moment gives no grace",
     .text = "rules 1\n"
             "fresh 0\n"
             "server s1 plain none\n"
             "server s2 plain none\n"
             "server s3 plain none\n"
             "at 1000\n"
             "store-lost\n"
             "at 1300\n"
             "store-back\n"
             "unlisted s1\n"
             "  forget s1:1\n"
             "unlisted s2\n"
             "  forget s2:1\n"
             "open 1 /read/x key=ka\n"
             "  ask 1 run s3 for 1 team=a left=10000\n"},
    {.name = "a peer that missed the store for a moment gives no grace",
     .text = "rules 1\n"
             "fresh 0\n"
             "server s1 plain none\n"
             "server s2 plain none\n"
             "server s3 plain none\n"
             "member n2 store-lost\n"
             "at 200\n"
             "member n2 store_back_ms=0\n"
             "unlisted s1\n"
             "  forget s1:1\n"
             "unlisted s2\n"
             "  forget s2:1\n"
             "open 1 /read/x key=ka\n"
             "  ask 1 run s3 for 1 team=a left=10000\n"},
    {.name = "the last server is used though it is unlisted after an outage",
     .text = "rules 1\n"
             "fresh 0\n"
             "server s1 plain none\n"
             "server d1 llm decode\n"
             "at 1000\n"
             "store-back\n"
             "unlisted s1\n"
             "open 1 /read/x key=ka\n"
             "  ask 1 run s1 for 1 team=a left=10000\n"},
    {.name = "a restarted server with the same id is a new server",
     .text = "rules 1\n"
             "fresh 0\n"
             "server s1 plain none born=1\n"
             "open 1 /read/x key=ka\n"
             "  ask 1 run s1 for 1 team=a left=10000\n"
             "server s1 plain none born=2\n"
             "  forget s1:1\n"
             "load s1\n"
             "  running=0 reserved=0 reading=0\n"},
    /* Guards against a team that gets its rate once per instance. */
    {.name = "a team's allowance is shared by all instances",
     .text = "rules 1 rate=1000 burst=1000\n"
             "fresh 0\n"
             "server s1 plain none\n"
             "member n2\n"
             "open 1 /read/x key=ka\n"
             "  ask 1 run s1 for 1 team=a left=10000\n"
             "spent n2 a 800 level=-550\n"
             "open 2 /read/x key=ka\n"
             "  refuse 2 429 over_allowance ran=no later\n"
             "at 1000\n"
             "member n2\n"
             "open 3 /read/x key=ka\n"
             "  ask 2 run s1 for 3 team=a left=10000\n"
             "open 4 /read/x key=ka\n"
             "  ask 3 run s1 for 4 team=a left=10000\n"
             "open 5 /read/x key=ka\n"
             "  refuse 5 429 over_allowance ran=no later\n"},
    /* Guards against granting the full rate on each side of a partition. */
    {.name = "an isolated instance grants only its share of the allowance",
     .text = "rules 1 rate=1000 burst=1000\n"
             "fresh 0\n"
             "server s1 plain none\n"
             "member n2\n"
             "member n3\n"
             "member n4\n"
             "open 1 /read/x key=ka\n"
             "  ask 1 run s1 for 1 team=a left=10000\n"
             "at 3000\n"
             "fresh 3000\n"
             "open 2 /read/x key=ka\n"
             "  ask 2 run s1 for 2 team=a left=10000\n"
             "open 3 /read/x key=ka\n"
             "  refuse 3 429 over_allowance ran=no later\n"
             "open 4 /read/x key=ka\n"
             "  refuse 4 429 over_allowance ran=no later\n"
             "open 5 /read/x key=ka\n"
             "  refuse 5 429 over_allowance ran=no later\n"},
    {.name = "tokens of a request that did not run are refunded",
     .text = "rules 1 rate=300 burst=800\n"
             "fresh 0\n"
             "open 1 /read/x key=ka\n"
             "  refuse 1 503 no_server ran=no later\n"
             "open 2 /read/x key=ka\n"
             "  refuse 2 503 no_server ran=no later\n"},
    /* Guards against retries that double the load of a failing service. */
    {.name = "retries stop when the retry budget is used up",
     .text = "options extra=1\n"
             "rules 1\n"
             "fresh 0\n"
             "server s1 plain none\n"
             "server s2 plain none\n"
             "open 1 /read/x key=ka\n"
             "  ask 1 run s1 for 1 team=a left=10000\n"
             "answer 1 500\n"
             "  pass 1 from 1\n"
             "  finish 1\n"
             "  stop 1\n"},
    /* Guards against one request, sent again and again, crashing a service. */
    {.name = "a request that has crashed three servers is refused",
     .text = "rules 1\n"
             "fresh 0\n"
             "server s1 plain none born=1\n"
             "open 1 /order/x key=ka digest=9\n"
             "  ask 1 run s1 for 1 team=a left=10000\n"
             "fail 1 104 sent\n"
             "  refuse 1 502 upstream_lost ran=maybe\n"
             "server s1 plain none born=2\n"
             "  forget s1:1\n"
             "open 2 /order/x key=ka digest=9\n"
             "  ask 2 run s1 for 2 team=a left=10000\n"
             "fail 2 104 sent\n"
             "  refuse 2 502 upstream_lost ran=maybe\n"
             "server s1 plain none born=3\n"
             "  forget s1:1\n"
             "open 3 /order/x key=ka digest=9\n"
             "  ask 3 run s1 for 3 team=a left=10000\n"
             "fail 3 104 sent\n"
             "  refuse 3 502 upstream_lost ran=maybe\n"
             "server s1 plain none born=4\n"
             "  forget s1:1\n"
             "open 4 /order/x key=ka digest=9\n"
             "  refuse 4 503 poison ran=no later\n"
             "open 5 /order/x key=ka digest=8\n"
             "  ask 4 run s1 for 5 team=a left=10000\n"},
    {.name = "a request that exceeds its time limit gets a 504",
     .text = "rules 1 timeout_ms=1000 attempts=1\n"
             "fresh 0\n"
             "server s1 plain none\n"
             "open 1 /order/x key=ka left_ms=5000\n"
             "  ask 1 run s1 for 1 team=a left=1000\n"
             "at 1020\n"
             "tick\n"
             "at 1070\n"
             "tick\n"
             "  refuse 1 504 timeout ran=maybe\n"
             "  stop 1\n"},
    /*
     * Guards against a needless wait of callers whom other instances could
     * serve. If the others are in touch they are likely as stale, and an
     * immediate retry would fail there, too.
     */
    {.name = "an isolated instance tells callers to retry at once",
     .text = "rules 1\n"
             "fresh 0\n"
             "list\n"
             "server s1 plain none\n"
             "member n2\n"
             "member n3\n"
             "at 4100\n"
             "open 1 /read/x key=ka\n"
             "  refuse 1 503 configuration_stale ran=no at-once\n"
             "member n2\n"
             "member n3\n"
             "open 2 /read/x key=ka\n"
             "  refuse 2 503 configuration_stale ran=no later\n"},
    {.name = "the lease holder orders stage changes with its fencing token",
     .text = "rules 1\n"
             "fresh 0\n"
             "list\n"
             "server p1 llm prefill\n"
             "server p2 llm prefill\n"
             "server p3 llm prefill\n"
             "server d1 llm decode\n"
             "tick\n"
             "at 800\n"
             "tick\n"
             "  claim at 0\n"
             "lead made 4\n"
             "tick\n"
             "  ask 1 report p1\n"
             "  ask 2 report p2\n"
             "  ask 3 report p3\n"
             "  ask 4 report d1\n"
             "answer 1 200 orders=0 stage=prefill\n"
             "answer 2 200 orders=0 stage=prefill\n"
             "answer 3 200 orders=7 stage=prefill\n"
             "answer 4 200 orders=0 stage=decode\n"
             "at 1200\n"
             "tick\n"
             "  ask 5 report p2\n"
             "answer 5 200 orders=0 stage=prefill\n"
             "  ask 6 stage p2 to=2 fence=5 expected=0\n"
             "answer 6 202\n"
             "at 1300\n"
             "tick\n"
             "  ask 7 report p1\n"},
    /*
     * Guards against conflicting orders of two instances when the holder is
     * suspended between its survey of the engines and the order.
     */
    {.name = "a holder whose lease has expired orders nothing",
     .text = "rules 1\n"
             "fresh 0\n"
             "list\n"
             "server p1 llm prefill\n"
             "server p2 llm prefill\n"
             "server p3 llm prefill\n"
             "server d1 llm decode\n"
             "tick\n"
             "at 800\n"
             "tick\n"
             "  claim at 0\n"
             "lead made 4\n"
             "at 900\n"
             "tick\n"
             "  ask 1 report p1\n"
             "  ask 2 report p2\n"
             "  ask 3 report p3\n"
             "  ask 4 report d1\n"
             "at 1300\n"
             "tick\n"
             "  ask 5 report p2\n"
             "at 3600\n"
             "fresh 3600\n"
             "answer 5 200 orders=0 stage=prefill\n"},
    {.name = "an instance that lost a claim waits for the lease to expire",
     .text = "rules 1\n"
             "fresh 0\n"
             "list\n"
             "server p1 llm prefill\n"
             "server p2 llm prefill\n"
             "server d1 llm decode\n"
             "options prefill=100\n"
             "tick\n"
             "at 800\n"
             "tick\n"
             "  claim at 0\n"
             "lead taken 9\n"
             "at 2000\n"
             "tick\n"
             "at 3900\n"
             "tick\n"
             "at 4900\n"
             "fresh 4900\n"
             "tick\n"
             "  claim at 9\n"},
    {.name = "only the instance with the lowest name claims the order role",
     .text = "rules 1\n"
             "fresh 0\n"
             "list\n"
             "server p1 llm prefill\n"
             "server p2 llm prefill\n"
             "server d1 llm decode\n"
             "options prefill=100\n"
             "tick\n"
             "member n0\n"
             "at 800\n"
             "tick\n"},
    /*
     * Guards against refusing a team's small requests because its large ones,
     * admitted by two instances at once, made its level negative.
     */
    {.name = "a negative level within tolerance admits only small requests",
     .text = "options tolerance=72000\n"
             "rules 1 rate=10000 burst=10000\n"
             "fresh 0\n"
             "server s1 plain none\n"
             "spent n2 a 500 level=-6000\n"
             "open 1 /gen/x key=ka in=5000 out=4000\n"
             "  refuse 1 429 over_allowance ran=no later\n"
             "open 2 /read/x key=ka\n"
             "  ask 1 run s1 for 2 team=a left=10000\n"
             "spent n2 a 20500 level=-26000\n"
             "open 3 /read/x key=ka\n"
             "  refuse 3 429 over_allowance ran=no later\n"},
    /* Guards against a fresh allowance for each team at a restart. */
    {.name = "an instance that starts adopts the levels of its peers",
     .text = "rules 1 rate=1000 burst=1000\n"
             "fresh 0\n"
             "server s1 plain none\n"
             "spent n2 a 5000 level=-900\n"
             "open 1 /read/x key=ka\n"
             "  refuse 1 429 over_allowance ran=no later\n"
             "at 800\n"
             "member n2\n"
             "open 2 /read/x key=ka\n"
             "  refuse 2 429 over_allowance ran=no later\n"
             "at 1200\n"
             "member n2\n"
             "open 3 /read/x key=ka\n"
             "  ask 1 run s1 for 3 team=a left=10000\n"},
};

START_TEST(script_output_matches)
{
    Fw_RelayScript_Check(&scripts[_i]);
}
END_TEST

int
main(void)
{
    TCase *tc = Fw_Suite_New("relay world");

    tcase_add_loop_test(tc, script_output_matches, 0, G_N_ELEMENTS(scripts));
    return Fw_Suite_Run(tc);
}
