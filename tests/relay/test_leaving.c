/*
 * Scripted tests of the relay's core: servers that say in their responses that
 * they are about to shut down.
 */
#include <check.h>
#include <glib.h>

#include "tests/base/suite.h"
#include "tests/relay/script.h"

static const struct fw_relay_script scripts[] = {
    /* Guards against requests that are lost with a server that has said it. */
    {.name = "a server that leaves gets nothing new",
     .text = "rules 1\n"
             "registered\n"
             "fresh 0\n"
             "server s1 plain none\n"
             "list\n"
             "open 1 /read/x key=ka\n"
             "  ask 1 run s1 for 1 team=a left=10000\n"
             "open 2 /order/x key=ka\n"
             "  ask 2 run s1 for 2 team=a left=10000\n"
             "answer 1 200 leaving\n"
             "  forget s1:1\n"
             "  pass 1 from 1\n"
             "  finish 1\n"
             "  stop 1\n"
             "open 3 /read/x key=ka\n"
             "  refuse 3 503 no_server ran=no later\n"
             "answer 2 200\n"
             "  pass 2 from 2\n"
             "  finish 2\n"
             "  stop 2\n"
             "server s1 plain none\n"
             "open 4 /read/x key=ka\n"
             "  refuse 4 503 no_server ran=no later\n"
             "server s2 plain none\n"
             "open 5 /read/x key=ka\n"
             "  ask 3 run s2 for 5 team=a left=10000\n"
             "server s1 plain none born=2\n"
             "  forget s1:1\n"
             "server s2 plain none draining\n"
             "  forget s2:1\n"
             "open 6 /read/x key=ka\n"
             "  ask 4 run s1 for 6 team=a left=10000\n"},
    {.name = "a request that it rejects goes elsewhere",
     .text = "rules 1\n"
             "registered\n"
             "fresh 0\n"
             "server s1 plain none\n"
             "list\n"
             "open 1 /order/x key=ka\n"
             "  ask 1 run s1 for 1 team=a left=10000\n"
             "server s2 plain none\n"
             "answer 1 503 not-run leaving rest_ms=3000\n"
             "  forget s1:1\n"
             "  ask 2 run s2 for 1 team=a left=10000\n"},
    {.name = "another server at the address does not leave for this one",
     .text = "rules 1\n"
             "registered\n"
             "fresh 0\n"
             "server s1 plain none\n"
             "list\n"
             "open 1 /order/x key=ka\n"
             "  ask 1 run s1 for 1 team=a left=10000\n"
             "answer 1 421 moved leaving\n"
             "  ask 2 run s1 for 1 team=a left=10000\n"},
    /* Guards against a run that waits for its prefill longer than its engine.
     */
    {.name = "a run does not follow its reservation to an engine that left",
     .text = "rules 1\n"
             "registered\n"
             "fresh 0\n"
             "server d1 llm decode\n"
             "server p1 llm prefill\n"
             "list\n"
             "open 1 /gen/x key=ka in=500 out=70\n"
             "  ask 1 hold d1 for 1 tokens=570\n"
             "answer 1 200 name=h1\n"
             "  ask 2 prefill p1 for 1 team=a\n"
             "at 200\n"
             "server d1 llm decode draining\n"
             "  forget d1:1\n"
             "server d2 llm decode\n"
             "at 1100\n"
             "answer 2 200 name=k1\n"
             "  ask 3 drop-kv p1 kv=k1\n"
             "  ask 4 drop-hold d1 hold=h1\n"
             "  ask 5 hold d2 for 1 tokens=570\n"},
    {.name = "a run follows its reservation to an engine that leaves just now",
     .text = "rules 1\n"
             "registered\n"
             "fresh 0\n"
             "server d1 llm decode\n"
             "server p1 llm prefill\n"
             "list\n"
             "open 1 /gen/x key=ka in=500 out=70\n"
             "  ask 1 hold d1 for 1 tokens=570\n"
             "answer 1 200 name=h1\n"
             "  ask 2 prefill p1 for 1 team=a\n"
             "at 200\n"
             "unlisted d1\n"
             "  forget d1:1\n"
             "at 400\n"
             "answer 2 200 name=k1\n"
             "  ask 3 run d1 for 1 hold=h1 kv=k1 team=a left=9600\n"},
    {.name = "a stream ends undisturbed on an engine that leaves",
     .text = "rules 1\n"
             "registered\n"
             "fresh 0\n"
             "server d1 llm decode\n"
             "list\n"
             "open 1 /gen/x key=ka in=500 out=70\n"
             "  ask 1 hold d1 for 1 tokens=570\n"
             "answer 1 200 name=h1\n"
             "  ask 2 run d1 for 1 hold=h1 team=a left=10000\n"
             "begun 2 200 leaving\n"
             "  forget d1:1\n"
             "  pass 1 from 2\n"
             "open 2 /gen/x key=ka in=500 out=70\n"
             "answer 2 200 leaving\n"
             "  finish 1\n"
             "at 500\n"
             "tick\n"
             "  refuse 2 503 no_room ran=no later\n"},
};

START_TEST(script_output_matches)
{
    Fw_RelayScript_Check(&scripts[_i]);
}
END_TEST

int
main(void)
{
    TCase *tc = Fw_Suite_New("relay leaving");

    tcase_add_loop_test(tc, script_output_matches, 0, G_N_ELEMENTS(scripts));
    return Fw_Suite_Run(tc);
}
