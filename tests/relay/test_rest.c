/*
 * Scripted tests of the relay's core: servers that reject requests and ask
 * this instance for rest.
 */
#include <check.h>
#include <glib.h>

#include "tests/base/suite.h"
#include "tests/relay/script.h"

static const struct fw_relay_script scripts[] = {
    /* Guards against a server at rest that is preferred for its low load. */
    {.name = "a server at rest gets nothing, then single requests",
     .text = "rules 1\n"
             "registered\n"
             "fresh 0\n"
             "server s1 plain none\n"
             "list\n"
             "open 1 /read/x key=ka\n"
             "  ask 1 run s1 for 1 team=a left=10000\n"
             "answer 1 503 not-run rest_ms=3000\n"
             "  refuse 1 503 servers_limited ran=no later\n"
             "server s2 plain none\n"
             "open 2 /read/x key=ka\n"
             "  ask 2 run s2 for 2 team=a left=10000\n"
             "open 3 /order/x key=ka\n"
             "  ask 3 run s2 for 3 team=a left=10000\n"
             "at 2900\n"
             "fresh 2900\n"
             "server s2 plain none draining\n"
             "  forget s2:1\n"
             "open 4 /read/x key=ka\n"
             "  refuse 4 503 servers_limited ran=no later\n"
             "at 3000\n"
             "open 5 /read/x key=ka\n"
             "  ask 4 run s1 for 5 team=a left=10000\n"
             "open 6 /order/x key=ka\n"
             "  refuse 6 503 servers_limited ran=no later\n"
             "answer 4 200\n"
             "  pass 5 from 4\n"
             "  finish 5\n"
             "  stop 4\n"
             "open 7 /read/x key=ka\n"
             "  ask 5 run s1 for 7 team=a left=10000\n"
             "open 8 /order/x key=ka\n"
             "  ask 6 run s1 for 8 team=a left=10000\n"},
    /* Guards against retries that a server at rest would reject as well. */
    {.name = "a rejected request is retried where there is no rest",
     .text = "rules 1\n"
             "registered\n"
             "fresh 0\n"
             "server s1 plain none\n"
             "list\n"
             "open 1 /order/x key=ka\n"
             "  ask 1 run s1 for 1 team=a left=10000\n"
             "server s2 plain none\n"
             "answer 1 503 not-run rest_ms=60000\n"
             "  ask 2 run s2 for 1 team=a left=10000\n"
             "answer 2 503 not-run rest_ms=500\n"
             "  refuse 1 503 servers_limited ran=no later\n"
             "at 500\n"
             "open 2 /order/x key=ka\n"
             "  ask 3 run s2 for 2 team=a left=10000\n"},
    {.name = "a retry that the budget doesn't grant is not sent",
     .text = "options extra=0\n"
             "rules 1\n"
             "registered\n"
             "fresh 0\n"
             "server s1 plain none\n"
             "list\n"
             "open 1 /order/x key=ka\n"
             "  ask 1 run s1 for 1 team=a left=10000\n"
             "server s2 plain none\n"
             "answer 1 503 not-run rest_ms=3000\n"
             "  refuse 1 503 servers_full ran=no later\n"},
    {.name = "a server that was started anew is not at rest",
     .text = "rules 1\n"
             "registered\n"
             "fresh 0\n"
             "server s1 plain none\n"
             "list\n"
             "open 1 /order/x key=ka\n"
             "  ask 1 run s1 for 1 team=a left=10000\n"
             "answer 1 503 not-run rest_ms=60000\n"
             "  refuse 1 503 servers_limited ran=no later\n"
             "server s1 plain none born=2\n"
             "  forget s1:1\n"
             "open 2 /order/x key=ka\n"
             "  ask 2 run s1 for 2 team=a left=10000\n"},
    {.name = "another server at the address asks for no rest of this one",
     .text = "rules 1\n"
             "registered\n"
             "fresh 0\n"
             "server s1 plain none\n"
             "list\n"
             "open 1 /order/x key=ka\n"
             "  ask 1 run s1 for 1 team=a left=10000\n"
             "answer 1 421 moved rest_ms=60000\n"
             "  ask 2 run s1 for 1 team=a left=10000\n"},
    /* Guards against generations that wait for engines at rest in vain. */
    {.name = "an engine rejects a reservation and asks for rest",
     .text = "rules 1\n"
             "registered\n"
             "fresh 0\n"
             "server d1 llm decode\n"
             "list\n"
             "open 1 /gen/x key=ka in=500 out=70\n"
             "  ask 1 hold d1 for 1 tokens=570\n"
             "answer 1 503 not-run rest_ms=3000\n"
             "  refuse 1 503 engines_limited ran=no later\n"
             "open 2 /gen/x key=ka in=500 out=70\n"
             "  refuse 2 503 engines_limited ran=no later\n"
             "at 2800\n"
             "fresh 2800\n"
             "open 3 /gen/x key=ka in=500 out=70\n"
             "at 3000\n"
             "tick\n"
             "  ask 2 hold d1 for 3 tokens=570\n"},
    /* Guards against a run that is sent into the rest of its engine. */
    {.name = "a reservation is not used at an engine that asks for rest",
     .text = "rules 1\n"
             "registered\n"
             "fresh 0\n"
             "server d1 llm decode\n"
             "list\n"
             "open 1 /gen/x key=ka in=500 out=70\n"
             "  ask 1 hold d1 for 1 tokens=570\n"
             "open 2 /gen/x key=ka in=500 out=70\n"
             "  ask 2 hold d1 for 2 tokens=570\n"
             "answer 2 503 not-run rest_ms=3000\n"
             "  refuse 2 503 engines_limited ran=no later\n"
             "answer 1 200 name=h1\n"
             "  refuse 1 503 engines_limited ran=no later\n"},
    {.name = "a prefill engine at rest is left out",
     .text = "rules 1\n"
             "registered\n"
             "fresh 0\n"
             "server p1 llm prefill\n"
             "server d1 llm decode\n"
             "list\n"
             "open 1 /gen/x key=ka in=5000 out=70\n"
             "  ask 1 hold d1 for 1 tokens=5070\n"
             "answer 1 200 name=h1\n"
             "  ask 2 prefill p1 for 1 team=a\n"
             "answer 2 503 not-run rest_ms=3000\n"
             "  ask 3 run d1 for 1 hold=h1 team=a left=10000\n"
             "open 2 /gen/x key=ka in=5000 out=70\n"
             "  ask 4 hold d1 for 2 tokens=5070\n"
             "answer 4 200 name=h2\n"
             "  ask 5 run d1 for 2 hold=h2 team=a left=10000\n"},
};

START_TEST(script_output_matches)
{
    Fw_RelayScript_Check(&scripts[_i]);
}
END_TEST

int
main(void)
{
    TCase *tc = Fw_Suite_New("relay rest");

    tcase_add_loop_test(tc, script_output_matches, 0, G_N_ELEMENTS(scripts));
    return Fw_Suite_Run(tc);
}
