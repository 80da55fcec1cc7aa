/*
 * Scripted tests of the relay's core: evacuated failure domains and cold
 * servers.
 */
#include "tests/base/suite.h"
#include "tests/relay/script.h"

static const struct fw_relay_script scripts[] = {
    {.name = "servers of an evacuated domain get no new request",
     .text = "rules 1\n"
             "fresh 0\n"
             "server s1 plain none domain=x\n"
             "server s2 plain none domain=y\n"
             "evacuate x 5\n"
             "evacuate nowhere 6\n"
             "open 1 /read/x key=ka\n"
             "  ask 1 run s2 for 1 team=a left=10000\n"
             "evacuate y 7\n"
             "open 2 /read/x key=ka\n"
             "  refuse 2 503 no_server ran=no later\n"
             "server s3 plain none domain=x\n"
             "open 3 /read/x key=ka\n"
             "  refuse 3 503 no_server ran=no later\n"
             "evacuation-ended x 8\n"
             "open 4 /read/x key=ka\n"
             "  ask 2 run s1 for 4 team=a left=10000\n"},
    /* Guards against a retry, or a resumed stream, that goes there. */
    {.name = "a retry goes to no evacuated domain",
     .text = "rules 1\n"
             "fresh 0\n"
             "server s1 plain none domain=x\n"
             "open 1 /read/x key=ka\n"
             "  ask 1 run s1 for 1 team=a left=10000\n"
             "server s2 plain none domain=y\n"
             "evacuate y 5\n"
             "answer 1 500\n"
             "  stop 1\n"
             "  ask 2 run s1 for 1 team=a left=10000\n"},
    /* Guards against an old record, read again, that takes effect. */
    {.name = "an older record about an evacuation is ignored",
     .text = "rules 1\n"
             "fresh 0\n"
             "server s1 plain none domain=x\n"
             "evacuate x 5\n"
             "evacuation-ended x 4\n"
             "open 1 /read/x key=ka\n"
             "  refuse 1 503 no_server ran=no later\n"
             "evacuation-ended x 9\n"
             "evacuate x 5\n"
             "evacuations 7 x=5\n"
             "open 2 /read/x key=ka\n"
             "  ask 1 run s1 for 2 team=a left=10000\n"},
    {.name = "an evacuation ends if a newer listing lacks it",
     .text = "rules 1\n"
             "fresh 0\n"
             "server s1 plain none domain=x\n"
             "evacuate x 5\n"
             "evacuations 5\n"
             "open 1 /read/x key=ka\n"
             "  refuse 1 503 no_server ran=no later\n"
             "evacuations 6 x=5\n"
             "open 2 /read/x key=ka\n"
             "  refuse 2 503 no_server ran=no later\n"
             "evacuations 9\n"
             "open 3 /read/x key=ka\n"
             "  ask 1 run s1 for 3 team=a left=10000\n"
             "evacuate x 8\n"
             "open 4 /read/x key=ka\n"
             "  ask 2 run s1 for 4 team=a left=10000\n"
             "evacuate x 9\n"
             "open 5 /read/x key=ka\n"
             "  refuse 5 503 no_server ran=no later\n"},
    {.name = "a record older than a listing that lacks it is ignored",
     .text = "rules 1\n"
             "fresh 0\n"
             "server s1 plain none domain=x\n"
             "evacuations 7\n"
             "evacuate x 6\n"
             "open 1 /read/x key=ka\n"
             "  ask 1 run s1 for 1 team=a left=10000\n"
             "evacuate x 7\n"
             "open 2 /read/x key=ka\n"
             "  refuse 2 503 no_server ran=no later\n"},
    /* Guards against a run at an engine that was evacuated meanwhile. */
    {.name = "a stream with a reservation in an evacuated domain moves",
     .text = "rules 1\n"
             "fresh 0\n"
             "server p1 llm prefill domain=y\n"
             "server d1 llm decode domain=x\n"
             "open 1 /gen/x key=ka in=5000 out=700\n"
             "  ask 1 hold d1 for 1 tokens=5700\n"
             "answer 1 200 name=h1\n"
             "  ask 2 prefill p1 for 1 team=a\n"
             "server d2 llm decode domain=y\n"
             "evacuate x 5\n"
             "answer 2 200 name=k1\n"
             "  ask 3 drop-kv p1 kv=k1\n"
             "  ask 4 drop-hold d1 hold=h1\n"
             "  ask 5 hold d2 for 1 tokens=5700\n"},
    {.name = "engines of an evacuated domain are not ordered about",
     .text = "rules 1\n"
             "fresh 0\n"
             "list\n"
             "server p1 llm prefill domain=x\n"
             "server p2 llm prefill domain=x\n"
             "server d1 llm decode domain=y\n"
             "server d2 llm decode domain=y\n"
             "evacuate x 5\n"
             "options prefill=100\n"
             "tick\n"
             "at 800\n"
             "tick\n"
             "  claim at 0\n"
             "lead made 4\n"
             "tick\n"
             "  ask 1 report d1\n"
             "  ask 2 report d2\n"},
    {.name = "a request stays in the regions of its route",
     .text = "rules 1 route_region=west\n"
             "fresh 0\n"
             "server s1 plain none domain=x\n"
             "server s3 plain none domain=elsewhere\n"
             "open 1 /read/x key=ka\n"
             "  refuse 1 503 no_server ran=no later\n"
             "server s2 plain none domain=y\n"
             "open 2 /read/x key=ka\n"
             "  ask 1 run s2 for 2 team=a left=10000\n"
             "answer 1 500\n"
             "  stop 1\n"
             "  ask 2 run s2 for 2 team=a left=10000\n"},
    {.name = "the regions of route and team both bind",
     .text = "rules 1 route_region=west team_region=east\n"
             "fresh 0\n"
             "server s1 plain none domain=x\n"
             "server s2 plain none domain=y\n"
             "open 1 /read/x key=ka\n"
             "  refuse 1 503 no_server ran=no later\n"
             "open 2 /open/x\n"
             "  ask 1 run s2 for 2 left=10000\n"},
    {.name = "a KV cache is not moved out of the regions",
     .text = "rules 1 team_region=east\n"
             "fresh 0\n"
             "server p1 llm prefill domain=y\n"
             "server d1 llm decode domain=x\n"
             "open 1 /gen/x key=ka in=5000 out=700\n"
             "  ask 1 hold d1 for 1 tokens=5700\n"
             "answer 1 200 name=h1\n"
             "  ask 2 run d1 for 1 hold=h1 team=a left=10000\n"},
    /* Guards against a cold server that the whole fleet sends requests to. */
    {.name = "a cold server gets a few requests a second",
     .text = "rules 1 cold_rate=4 cold_ms=3000\n"
             "fresh 0\n"
             "server s1 plain none cold_ms=2000\n"
             "open 1 /read/x key=ka\n"
             "  refuse 1 503 no_server ran=no later\n"
             "registered\n"
             "open 2 /read/x key=ka\n"
             "  ask 1 run s1 for 2 team=a left=10000\n"
             "open 3 /read/x key=ka\n"
             "  ask 2 run s1 for 3 team=a left=10000\n"
             "open 4 /read/x key=ka\n"
             "  ask 3 run s1 for 4 team=a left=10000\n"
             "open 5 /read/x key=ka\n"
             "  ask 4 run s1 for 5 team=a left=10000\n"
             "open 6 /read/x key=ka\n"
             "  refuse 6 503 no_server ran=no later\n"
             "at 1200\n"
             "open 7 /read/x key=ka\n"
             "  ask 5 run s1 for 7 team=a left=10000\n"
             "at 2100\n"
             "open 8 /read/x key=ka\n"
             "  ask 6 run s1 for 8 team=a left=10000\n"
             "open 9 /read/x key=ka\n"
             "  ask 7 run s1 for 9 team=a left=10000\n"
             "open 10 /read/x key=ka\n"
             "  ask 8 run s1 for 10 team=a left=10000\n"
             "open 11 /read/x key=ka\n"
             "  ask 9 run s1 for 11 team=a left=10000\n"
             "open 12 /read/x key=ka\n"
             "  ask 10 run s1 for 12 team=a left=10000\n"},
    {.name = "a reservation at a cold engine counts with the run",
     .text = "rules 1 cold_rate=4 cold_ms=3000\n"
             "registered\n"
             "fresh 0\n"
             "server d1 llm decode cold_ms=2000\n"
             "open 1 /gen/x key=ka in=500 out=70\n"
             "  ask 1 hold d1 for 1 tokens=570\n"
             "open 2 /gen/x key=ka in=500 out=70\n"
             "  ask 2 hold d1 for 2 tokens=570\n"
             "open 3 /gen/x key=ka in=500 out=70\n"
             "answer 1 200 name=h1\n"
             "  ask 3 run d1 for 1 hold=h1 team=a left=10000\n"
             "open 4 /gen/x key=ka in=500 out=70\n"},
    {.name = "servers of a domain that was evacuated count as cold",
     .text = "rules 1 cold_rate=1 cold_ms=3000\n"
             "registered\n"
             "fresh 0\n"
             "server s1 plain none domain=x\n"
             "open 1 /read/x key=ka\n"
             "  ask 1 run s1 for 1 team=a left=10000\n"
             "open 2 /read/x key=ka\n"
             "  ask 2 run s1 for 2 team=a left=10000\n"
             "evacuate x 5\n"
             "at 1200\n"
             "evacuation-ended x 6\n"
             "open 3 /read/x key=ka\n"
             "  ask 3 run s1 for 3 team=a left=10000\n"
             "open 4 /read/x key=ka\n"
             "  refuse 4 503 no_server ran=no later\n"},
    {.name = "a server that could not be reached counts as cold",
     .text = "rules 1 cold_rate=1 cold_ms=3000\n"
             "registered\n"
             "fresh 0\n"
             "server s1 plain none\n"
             "open 1 /order/x key=ka\n"
             "  ask 1 run s1 for 1 team=a left=10000\n"
             "fail 1 111 unsent\n"
             "  ask 2 run s1 for 1 team=a left=10000\n"
             "fail 2 111 unsent\n"
             "  refuse 1 503 upstream_lost ran=no later\n"
             "at 1300\n"
             "open 2 /read/x key=ka\n"
             "  ask 3 run s1 for 2 team=a left=10000\n"
             "open 3 /read/x key=ka\n"
             "  refuse 3 503 no_server ran=no later\n"},
};

START_TEST(script_output_matches)
{
    Fw_RelayScript_Check(&scripts[_i]);
}
END_TEST

int
main(void)
{
    TCase *tc = Fw_Suite_New("relay places");

    tcase_add_loop_test(tc, script_output_matches, 0, G_N_ELEMENTS(scripts));
    return Fw_Suite_Run(tc);
}
