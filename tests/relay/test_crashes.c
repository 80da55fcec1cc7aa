/*
 * Scripted tests of the relay's core: requests that crash the servers that run
 * them, and those that share something with these.
 */
#include <check.h>
#include <glib.h>

#include "tests/base/suite.h"
#include "tests/relay/script.h"

/* Three servers have ended, each while it ran a request with part 7. */
#define THREE_CRASHES                                                         \
    "rules 1\n"                                                               \
    "registered\n"                                                            \
    "fresh 0\n"                                                               \
    "server s1 plain none\n"                                                  \
    "list\n"                                                                  \
    "open 1 /order/x key=ka digest=1 parts=5,7\n"                             \
    "  ask 1 run s1 for 1 team=a left=10000\n"                                \
    "fail 1 104 sent\n"                                                       \
    "  refuse 1 502 upstream_lost ran=maybe\n"                                \
    "unlisted s1\n"                                                           \
    "  forget s1:1\n"                                                         \
    "at 400\n"                                                                \
    "server s2 plain none\n"                                                  \
    "open 2 /order/x key=ka digest=2 parts=5,7\n"                             \
    "  ask 2 run s2 for 2 team=a left=10000\n"                                \
    "fail 2 104 sent\n"                                                       \
    "  refuse 2 502 upstream_lost ran=maybe\n"                                \
    "unlisted s2\n"                                                           \
    "  forget s2:1\n"                                                         \
    "at 800\n"                                                                \
    "server s3 plain none\n"                                                  \
    "open 3 /order/x key=ka digest=3 parts=5,7\n"                             \
    "  ask 3 run s3 for 3 team=a left=10000\n"                                \
    "fail 3 104 sent\n"                                                       \
    "  refuse 3 502 upstream_lost ran=maybe\n"

static const struct fw_relay_script scripts[] = {
    /* Guards against server after server being lost to one part. */
    {.name = "requests with a part that crashes servers are refused, sound "
             "ones of the same caller are served",
     .text = THREE_CRASHES "unlisted s3\n"
                           "  forget s3:1\n"
                           "at 900\n"
                           "server s4 plain none\n"
                           "open 4 /read/x key=ka digest=4 parts=5,7\n"
                           "  refuse 4 503 poison ran=no later\n"
                           "open 5 /read/x key=ka digest=5 parts=5,8\n"
                           "  ask 4 run s4 for 5 team=a left=10000\n"
                           "open 6 /order/x key=ka digest=6\n"
                           "  ask 5 run s4 for 6 team=a left=10000\n"},
    /* Guards against a freeze that makes a crashing request look sound. */
    {.name = "a response that broke off during a freeze has not lasted",
     .text = "rules 1\n"
             "registered\n"
             "fresh 0\n"
             "list\n"
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
             "at 800\n"
             "server d3 llm decode\n"
             "open 3 /gen/x key=ka in=5000 out=4000 digest=3 parts=5,7\n"
             "  ask 5 hold d3 for 3 tokens=9000\n"
             "answer 5 200 name=H\n"
             "  ask 6 run d3 for 3 hold=H team=a left=10000\n"
             "begun 6 200\n"
             "  pass 3 from 6\n"
             "at 4500\n"
             "fresh 4500\n"
             "tick\n"
             "fail 6 104 sent\n"
             "  cut 3\n"
             "unlisted d3\n"
             "  forget d3:1\n"
             "server d4 llm decode\n"
             "open 4 /gen/x key=ka in=5000 out=4000 digest=4 parts=5,7\n"
             "  refuse 4 503 poison ran=no later\n"
             "open 5 /gen/x key=ka in=5000 out=4000 digest=5 parts=5,8\n"
             "  ask 7 hold d4 for 5 tokens=9000\n"},
    /* Guards against requests that were accepted before going on to servers.
     */
    {.name = "requests under way are refused as the part becomes known",
     .text = THREE_CRASHES "server s4 plain none\n"
                           "open 4 /read/x key=ka digest=4 parts=5,7\n"
                           "  ask 4 run s4 for 4 team=a left=10000\n"
                           "open 5 /read/x key=ka digest=5 parts=5,9\n"
                           "  ask 5 run s4 for 5 team=a left=10000\n"
                           "unlisted s3\n"
                           "  forget s3:1\n"
                           "tick\n"
                           "  ask 6 probe s4\n"
                           "  refuse 4 502 poison ran=maybe\n"
                           "  stop 4\n"},
    /* Guards against seconds in which nobody knows that a server has ended. */
    {.name = "the server of a broken run is probed and left out if it ended",
     .text = "rules 1\n"
             "registered\n"
             "fresh 0\n"
             "server s1 plain none\n"
             "list\n"
             "open 1 /order/x key=ka digest=1 parts=5,7\n"
             "  ask 1 run s1 for 1 team=a left=10000\n"
             "fail 1 104 sent\n"
             "  refuse 1 502 upstream_lost ran=maybe\n"
             "tick\n"
             "  ask 2 probe s1\n"
             "server s2 plain none\n"
             "fail 2 111\n"
             "open 2 /order/x key=ka digest=2\n"
             "  ask 3 run s2 for 2 team=a left=10000\n"
             "open 3 /order/x key=ka digest=3\n"
             "  ask 4 run s2 for 3 team=a left=10000\n"
             "open 4 /order/x key=ka digest=4\n"
             "  ask 5 run s2 for 4 team=a left=10000\n"},
    /* Guards against blaming requests for the end of a planned stop. */
    {.name = "what a leaving server breaks off is blamed for nothing",
     .text = "rules 1\n"
             "registered\n"
             "fresh 0\n"
             "list\n"
             "server s1 plain none\n"
             "open 1 /order/x key=ka digest=1 parts=5,7\n"
             "  ask 1 run s1 for 1 team=a left=10000\n"
             "server s1 plain none draining\n"
             "  forget s1:1\n"
             "at 400\n"
             "fail 1 104 sent\n"
             "  refuse 1 502 upstream_lost ran=maybe\n"
             "unlisted s1\n"
             "  forget s1:1\n"
             "server s2 plain none\n"
             "open 2 /order/x key=ka digest=2 parts=5,7\n"
             "  ask 2 run s2 for 2 team=a left=10000\n"
             "server s2 plain none draining\n"
             "  forget s2:1\n"
             "at 800\n"
             "fail 2 104 sent\n"
             "  refuse 2 502 upstream_lost ran=maybe\n"
             "unlisted s2\n"
             "  forget s2:1\n"
             "server s3 plain none\n"
             "open 3 /order/x key=ka digest=3 parts=5,7\n"
             "  ask 3 run s3 for 3 team=a left=10000\n"
             "server s3 plain none draining\n"
             "  forget s3:1\n"
             "at 1200\n"
             "fail 3 104 sent\n"
             "  refuse 3 502 upstream_lost ran=maybe\n"
             "unlisted s3\n"
             "  forget s3:1\n"
             "server s4 plain none\n"
             "open 4 /order/x key=ka digest=4 parts=5,7\n"
             "  ask 4 run s4 for 4 team=a left=10000\n"},
    {.name = "events of a request that crashes its server",
     .text =
         "logs\n"
         "rules 1\n"
         "  5 configuration "
         "\"version\":1,\"offset\":1,\"routes\":5,\"services\":2,\"teams\":2\n"
         "  7 team_limit \"team\":\"a\",\"rate\":0,\"burst\":0\n"
         "  7 team_limit \"team\":\"b\",\"rate\":0,\"burst\":0\n"
         "fresh 0\n"
         "server s1 plain none\n"
         "  5 server_seen "
         "\"server\":\"s1\",\"addr\":\"s1:1\",\"service\":\"plain\","
         "\"domain\":\"\",\"stage\":0\n"
         "open 1 /order/x key=ka digest=77 id=q1\n"
         "  ask 1 run s1 for 1 team=a left=10000\n"
         "  6 sent "
         "\"id\":\"q1\",\"route\":\"plain\",\"team\":\"a\",\"cost\":200,"
         "\"server\":\"s1\",\"try\":1,\"running\":1,\"left_ms\":10000\n"
         "at 20\n"
         "fail 1 104 sent\n"
         "  5 upstream_failed "
         "\"id\":\"q1\",\"server\":\"s1\",\"kind\":0,\"error\":-104,\"sent\":"
         "1,\"after_ms\":20\n"
         "  5 run_broke "
         "\"id\":\"q1\",\"server\":\"s1\",\"began_ms\":-1,\"parts\":[]\n"
         "  4 refused "
         "\"id\":\"q1\",\"route\":\"plain\",\"team\":\"a\",\"status\":502,"
         "\"reason\":\"upstream_lost\",\"ran\":\"maybe\",\"cost\":200,"
         "\"tries\":1,\"after_ms\":20,\"retry_ms\":0\n"
         "  refuse 1 502 upstream_lost ran=maybe\n"
         "unlisted s1\n"
         "  5 server_gone \"server\":\"s1\",\"addr\":\"s1:1\",\"why\":\"no "
         "longer listed\"\n"
         "  4 server_crashed \"server\":\"s1\",\"runs\":1\n"
         "  forget s1:1\n"},
};

START_TEST(script_output_matches)
{
    Fw_RelayScript_Check(&scripts[_i]);
}
END_TEST

int
main(void)
{
    TCase *tc = Fw_Suite_New("relay crashes");

    tcase_add_loop_test(tc, script_output_matches, 0, G_N_ELEMENTS(scripts));
    return Fw_Suite_Run(tc);
}
