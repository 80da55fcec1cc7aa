/*
 * Scripted tests of the relay's core: requests whose tries reached no server,
 * and an instance that has lost its links to the servers of one service only.
 */
#include <check.h>
#include <glib.h>

#include "tests/base/suite.h"
#include "tests/relay/script.h"

#define FW_WORLD                                                              \
    "fresh 0\n"                                                               \
    "list\n"                                                                  \
    "server s1 plain none\n"                                                  \
    "server s2 plain none\n"                                                  \
    "server d1 llm decode\n"                                                  \
    "server d2 llm decode\n"                                                  \
    "member n2\n"

#define FW_PREFILLING                                                         \
    "fresh 0\n"                                                               \
    "list\n"                                                                  \
    "server p1 llm prefill\n"                                                 \
    "server d1 llm decode\n"                                                  \
    "member n2\n"

static const struct fw_relay_script scripts[] = {
    /* Guards against callers who are failed although others could serve. */
    {.name = "an order that no server could be reached for is handed over",
     .text = "options extra=4\n"
             "rules 1\n" FW_WORLD "open 1 /order/x key=ka\n"
             "  ask 1 run s1 for 1 team=a left=10000\n"
             "fail 1 111 unsent\n"
             "  ask 2 run s2 for 1 team=a left=10000\n"
             "fail 2 111 unsent\n"
             "  ask 3 hand-over 127.0.0.9:1 for 1 left=10000\n"
             "answer 3 200\n"
             "  pass 1 from 3\n"
             "  finish 1\n"
             "  stop 3\n"},
    /* Guards against an allowance, or a retry budget, that both instances
       charge. */
    {.name =
         "what was charged for a request that is handed over is given back",
     .text = "options extra=4\n"
             "rules 1 rate=300 burst=800\n" FW_WORLD "open 1 /order/x key=ka\n"
             "  ask 1 run s1 for 1 team=a left=10000\n"
             "fail 1 111 unsent\n"
             "  ask 2 run s2 for 1 team=a left=10000\n"
             "fail 2 111 unsent\n"
             "  ask 3 hand-over 127.0.0.9:1 for 1 left=10000\n"
             "open 2 /order/x key=ka\n"
             "  ask 4 run s2 for 2 team=a left=10000\n"
             "fail 4 111 unsent\n"
             "  ask 5 run s1 for 2 team=a left=10000\n"
             "fail 5 111 unsent\n"
             "  ask 6 hand-over 127.0.0.9:1 for 2 left=10000\n"
             "open 3 /order/x key=ka\n"
             "  ask 7 run s1 for 3 team=a left=10000\n"
             "fail 7 111 unsent\n"
             "  ask 8 run s2 for 3 team=a left=10000\n"
             "fail 8 111 unsent\n"
             "  ask 9 hand-over 127.0.0.9:1 for 3 left=10000\n"},
    /* Guards against a second run. */
    {.name = "an order that a server may have received is not handed over",
     .text = "options extra=0\n"
             "rules 1\n" FW_WORLD "open 1 /order/x key=ka\n"
             "  ask 1 run s1 for 1 team=a left=10000\n"
             "fail 1 104 sent\n"
             "  refuse 1 502 upstream_lost ran=maybe\n"},
    /* Guards against instances that are asked for what servers have declined.
     */
    {.name = "an order that a server has declined is not handed over",
     .text = "options extra=4\n"
             "rules 1\n" FW_WORLD "open 1 /order/x key=ka\n"
             "  ask 1 run s1 for 1 team=a left=10000\n"
             "answer 1 503 not-run\n"
             "  ask 2 run s2 for 1 team=a left=10000\n"
             "fail 2 111 unsent\n"
             "  refuse 1 503 upstream_lost ran=no later\n"},
    /* Guards against generations that wait for engines in vain. */
    {.name = "a generation that no engine could be reached for is handed over",
     .text = "rules 1\n" FW_WORLD "open 1 /gen/x key=ka in=5000 out=4000\n"
             "  ask 1 hold d2 for 1 tokens=9000\n"
             "fail 1 111 unsent\n"
             "  ask 2 hold d1 for 1 tokens=9000\n"
             "fail 2 111 unsent\n"
             "  ask 3 hand-over 127.0.0.9:1 for 1 left=10000\n"
             "begun 3 200\n"
             "  pass 1 from 3\n"
             "answer 3 200\n"
             "  finish 1\n"
             "  stop 3\n"},
    /* Guards against prefills beyond the retry budget. */
    {.name =
         "a prompt that was read in vain is not handed over without budget",
     .text =
         "options extra=0\n"
         "rules 1\n" FW_PREFILLING "open 1 /gen/x key=ka in=5000 out=4000\n"
         "  ask 1 hold d1 for 1 tokens=9000\n"
         "answer 1 200 name=H\n"
         "  ask 2 prefill p1 for 1 team=a\n"
         "answer 2 200 name=K\n"
         "  ask 3 run d1 for 1 hold=H kv=K team=a left=10000\n"
         "fail 3 111 unsent\n"
         "  ask 4 drop-kv p1 kv=K\n"
         "  ask 5 drop-hold d1 hold=H\n"
         "  refuse 1 503 engine_unreachable ran=no later\n"},
    /* Guards against generations that wait although the prompt may be read
       again. */
    {.name = "a prompt that was read in vain is handed over and charged",
     .text =
         "options extra=4\n"
         "rules 1\n" FW_PREFILLING "open 1 /gen/x key=ka in=5000 out=4000\n"
         "  ask 1 hold d1 for 1 tokens=9000\n"
         "answer 1 200 name=H\n"
         "  ask 2 prefill p1 for 1 team=a\n"
         "answer 2 200 name=K\n"
         "  ask 3 run d1 for 1 hold=H kv=K team=a left=10000\n"
         "fail 3 111 unsent\n"
         "  ask 4 drop-kv p1 kv=K\n"
         "  ask 5 drop-hold d1 hold=H\n"
         "  ask 6 hand-over 127.0.0.9:1 for 1 left=10000\n"},
    /* Guards against giving up while the engines may be reached again. */
    {.name = "a generation that no instance takes waits for an engine here",
     .text = "options queue_ms=2000\n"
             "rules 1 rate=100 burst=100000\n" FW_WORLD
             "open 1 /gen/x key=ka in=5000 out=4000\n"
             "  ask 1 hold d2 for 1 tokens=9000\n"
             "fail 1 111 unsent\n"
             "  ask 2 hold d1 for 1 tokens=9000\n"
             "fail 2 111 unsent\n"
             "  ask 3 hand-over 127.0.0.9:1 for 1 left=10000\n"
             "at 20\n"
             "answer 3 503 handover-refused\n"
             "at 710\n"
             "tick\n"
             "  ask 4 probe d1\n"
             "  ask 5 hold d1 for 1 tokens=9000\n"},
    /* Guards against a loop, and against a rejection that another could spare.
     */
    {.name = "a request that was handed over is left to the instance before",
     .text = "options extra=0\n"
             "rules 1\n" FW_WORLD "open 1 /order/x key=ka handed-over\n"
             "  ask 1 run s1 for 1 team=a left=10000\n"
             "fail 1 111 unsent\n"
             "  refuse 1 503 upstream_lost ran=no later elsewhere\n"
             "open 2 /gen/x key=ka in=5000 out=4000 handed-over\n"
             "  ask 2 hold d2 for 2 tokens=9000\n"
             "fail 2 111 unsent\n"
             "  ask 3 hold d1 for 2 tokens=9000\n"
             "fail 3 111 unsent\n"
             "  refuse 2 503 engine_unreachable ran=no later elsewhere\n"},
    /* Guards against callers failed for links to one service only. */
    {.name = "requests for the service whose servers can't be reached go over",
     .text = "options extra=0\n"
             "rules 1\n" FW_WORLD "open 1 /order/x key=ka\n"
             "  ask 1 run s1 for 1 team=a left=10000\n"
             "fail 1 111 unsent\n"
             "  ask 2 hand-over 127.0.0.9:1 for 1 left=10000\n"
             "open 2 /order/x key=ka\n"
             "  ask 3 run s2 for 2 team=a left=10000\n"
             "fail 3 111 unsent\n"
             "  ask 4 hand-over 127.0.0.9:1 for 2 left=10000\n"
             "at 200\n"
             "open 3 /gen/x key=ka in=5000 out=4000\n"
             "  ask 5 hold d1 for 3 tokens=9000\n"
             "answer 5 200 name=H\n"
             "  ask 6 run d1 for 3 hold=H team=a left=10000\n"
             "begun 6 200\n"
             "  pass 3 from 6\n"
             "at 310\n"
             "open 4 /order/x key=ka\n"
             "  ask 7 hand-over 127.0.0.9:1 for 4 left=10000\n"
             "open 5 /gen/x key=ka in=5000 out=4000\n"
             "  ask 8 hold d2 for 5 tokens=9000\n"
             "open 6 /order/x key=ka handed-over\n"
             "  refuse 6 503 links_lost ran=no at-once elsewhere\n"
             "open 7 /gen/x key=ka in=5000 out=4000 handed-over\n"
             "  ask 9 hold d2 for 7 tokens=9000\n"},
    /* Guards against generations that queue while open connections still work.
     */
    {.name = "generations go over while no engine that decodes can be "
             "connected to",
     .text = "rules 1\n" FW_WORLD "open 1 /gen/x key=ka in=5000 out=4000\n"
             "  ask 1 hold d2 for 1 tokens=9000\n"
             "fail 1 111 unsent\n"
             "  ask 2 hold d1 for 1 tokens=9000\n"
             "fail 2 111 unsent\n"
             "  ask 3 hand-over 127.0.0.9:1 for 1 left=10000\n"
             "at 50\n"
             "open 2 /gen/x key=ka in=5000 out=4000\n"
             "  ask 4 hand-over 127.0.0.9:1 for 2 left=10000\n"
             "open 3 /order/x key=ka\n"
             "  ask 5 run s2 for 3 team=a left=10000\n"
             "at 710\n"
             "open 4 /gen/x key=ka in=5000 out=4000\n"
             "  ask 6 hand-over 127.0.0.9:1 for 4 left=10000\n"},
    /* Guards against requests kept from engines that only prefill unreachably.
     */
    {.name = "a generation stays here while only its prefill engines are out "
             "of reach",
     .text =
         "rules 1\n" FW_PREFILLING "open 1 /gen/x key=ka in=5000 out=4000\n"
         "  ask 1 hold d1 for 1 tokens=9000\n"
         "answer 1 200 name=H\n"
         "  ask 2 prefill p1 for 1 team=a\n"
         "fail 2 111 unsent\n"
         "  ask 3 run d1 for 1 hold=H team=a left=10000\n"
         "at 400\n"
         "open 2 /gen/x key=ka in=5000 out=4000\n"
         "  ask 4 hold d1 for 2 tokens=9000\n"},
    /* Guards against one refusal that keeps all requests here. */
    {.name =
         "an instance that has refused is asked again if it is the only one",
     .text = "options extra=0\n"
             "rules 1\n" FW_WORLD "open 1 /order/x key=ka\n"
             "  ask 1 run s1 for 1 team=a left=10000\n"
             "fail 1 111 unsent\n"
             "  ask 2 hand-over 127.0.0.9:1 for 1 left=10000\n"
             "answer 2 503 handover-refused\n"
             "  refuse 1 503 upstream_lost ran=no later\n"
             "open 2 /order/x key=ka\n"
             "  ask 3 run s2 for 2 team=a left=10000\n"
             "fail 3 111 unsent\n"
             "  ask 4 hand-over 127.0.0.9:1 for 2 left=10000\n"
             "answer 4 200\n"
             "  pass 2 from 4\n"
             "  finish 2\n"
             "  stop 4\n"},
    /* Guards against a crashing request that returns past the quarantine. */
    {.name =
         "a request that returns is refused if a part is in quarantine now",
     .text = "rules 1\n"
             "registered\n"
             "fresh 0\n"
             "list\n"
             "member n2\n"
             "server s1 plain none\n"
             "server s2 plain none\n"
             "server s3 plain none\n"
             "server d1 llm decode\n"
             "open 1 /gen/x key=ka in=5000 out=4000 digest=1 parts=5,7\n"
             "  ask 1 hold d1 for 1 tokens=9000\n"
             "answer 1 200 name=H\n"
             "  ask 2 run d1 for 1 hold=H team=a left=10000\n"
             "begun 2 200\n"
             "  pass 1 from 2\n"
             "fail 2 104 sent\n"
             "  cut 1\n"
             "unlisted d1\n"
             "  forget d1:1\n"
             "at 400\n"
             "server d2 llm decode\n"
             "open 2 /gen/x key=ka in=5000 out=4000 digest=2 parts=5,7\n"
             "  ask 3 hold d2 for 2 tokens=9000\n"
             "answer 3 200 name=H\n"
             "  ask 4 run d2 for 2 hold=H team=a left=10000\n"
             "begun 4 200\n"
             "  pass 2 from 4\n"
             "fail 4 104 sent\n"
             "  cut 2\n"
             "unlisted d2\n"
             "  forget d2:1\n"
             "server d8 llm decode\n"
             "open 8 /gen/x key=ka in=5000 out=4000 digest=8 parts=5,7\n"
             "  ask 5 hold d8 for 8 tokens=9000\n"
             "fail 5 111 unsent\n"
             "  ask 6 hand-over 127.0.0.9:1 for 8 left=10000\n"
             "at 600\n"
             "open 7 /order/x key=ka\n"
             "  ask 7 run s1 for 7 team=a left=10000\n"
             "answer 7 200\n"
             "  pass 7 from 7\n"
             "  finish 7\n"
             "  stop 7\n"
             "at 800\n"
             "server d3 llm decode\n"
             "open 3 /gen/x key=ka in=5000 out=4000 digest=3 parts=5,7\n"
             "  ask 8 hold d3 for 3 tokens=9000\n"
             "answer 8 200 name=H\n"
             "  ask 9 run d3 for 3 hold=H team=a left=10000\n"
             "begun 9 200\n"
             "  pass 3 from 9\n"
             "fail 9 104 sent\n"
             "  cut 3\n"
             "unlisted d3\n"
             "  forget d3:1\n"
             "at 810\n"
             "tick\n"
             "answer 6 503 handover-refused\n"
             "  refuse 8 503 poison ran=no later\n"},
};

START_TEST(script)
{
    Fw_RelayScript_Check(&scripts[_i]);
}
END_TEST

int
main(void)
{
    TCase *tc = Fw_Suite_New("relay unconnected");

    tcase_add_loop_test(tc, script, 0, G_N_ELEMENTS(scripts));
    return Fw_Suite_Run(tc);
}
