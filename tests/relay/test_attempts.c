/* Scripted tests of when a request is tried at a second server. */
#include "tests/base/suite.h"
#include "tests/relay/script.h"

#define FW_BEGIN                                                              \
    "rules 1\n"                                                               \
    "fresh 0\n"                                                               \
    "server s1 plain none\n"

static const struct fw_relay_script scripts[] = {
    /* Guards against a 502 for work that takes long, for want of a server. */
    {.name = "a request goes on where there is no second server",
     .text = FW_BEGIN "open 1 /read/x key=ka\n"
                      "  ask 1 run s1 for 1 team=a left=10000\n"
                      "at 400\n"
                      "tick\n"
                      "at 2000\n"
                      "tick\n"
                      "  ask 2 probe s1\n"
                      "answer 1 200\n"
                      "  pass 1 from 1\n"
                      "  finish 1\n"
                      "  stop 1\n"},
    {.name = "a request goes on where the retry budget allows no second try",
     .text = "options extra=0\n" FW_BEGIN "server s2 plain none\n"
             "open 1 /read/x key=ka\n"
             "  ask 1 run s1 for 1 team=a left=10000\n"
             "at 400\n"
             "tick\n"
             "at 2000\n"
             "tick\n"
             "  ask 2 probe s1\n"
             "answer 1 200\n"
             "  pass 1 from 1\n"
             "  finish 1\n"
             "  stop 1\n"},
    /* Guards against streams that are cut as if they had not begun. */
    {.name = "a response that has begun is not given up",
     .text = "rules 1\n"
             "fresh 0\n"
             "server l1 llm none\n"
             "server l2 llm none\n"
             "open 1 /resume/x key=ka\n"
             "  ask 1 run l1 for 1 team=a left=10000\n"
             "at 100\n"
             "begun 1 200\n"
             "  pass 1 from 1\n"
             "at 400\n"
             "tick\n"
             "at 3000\n"
             "fresh 3000\n"
             "tick\n"
             "answer 1 200\n"
             "  finish 1\n"
             "  stop 1\n"},
    /* Guards against callers who wait for a silent server for longer. */
    {.name = "a silent server is given up for another one",
     .text = FW_BEGIN "server s2 plain none\n"
                      "served 8 /read/x 60\n"
                      "at 100\n"
                      "open 1 /read/x key=ka\n"
                      "  ask 9 run s1 for 1 team=a left=10000\n"
                      "at 449\n"
                      "tick\n"
                      "at 450\n"
                      "tick\n"
                      "  stop 9\n"
                      "  ask 10 run s2 for 1 team=a left=9650\n"
                      "at 2000\n"
                      "tick\n"
                      "  ask 11 probe s1\n"},
    /* Guards against a second run of each request of a slow service. */
    {.name = "the wait is as long as requests of the kind make it",
     .text = FW_BEGIN "server s2 plain none\n"
                      "served 8 /read/x 500\n"
                      "at 1000\n"
                      "fresh 1000\n"
                      "open 1 /read/x key=ka\n"
                      "  ask 9 run s1 for 1 team=a left=10000\n"
                      "at 2499\n"
                      "tick\n"
                      "at 2500\n"
                      "tick\n"
                      "  stop 9\n"
                      "  ask 10 run s2 for 1 team=a left=8500\n"},
    {.name = "a second try that has no time left is not made",
     .text = FW_BEGIN "server s2 plain none\n"
                      "served 4 /read/x 500\n"
                      "served 4 /read/x 2000\n"
                      "at 2000\n"
                      "fresh 2000\n"
                      "open 1 /read/x key=ka left_ms=1900\n"
                      "  ask 9 run s1 for 1 team=a left=1900\n"
                      "at 3500\n"
                      "tick\n"
                      "at 3800\n"
                      "tick\n"
                      "  ask 10 probe s1\n"
                      "answer 9 200\n"
                      "  pass 1 from 9\n"
                      "  finish 1\n"
                      "  stop 9\n"},
    /* Guards against callers who wait in vain though they could try anew. */
    {.name = "a request that no server has taken as long for is given up",
     .text = "options extra=0\n" FW_BEGIN "served 4 /read/x 60\n"
             "served 4 /read/x 60\n"
             "at 100\n"
             "rules 2 attempts=3\n"
             "open 1 /read/x key=ka\n"
             "  ask 9 run s1 for 1 team=a left=10000\n"
             "at 450\n"
             "tick\n"
             "  stop 9\n"
             "  ask 10 run s1 for 1 team=a left=9650\n"
             "at 800\n"
             "tick\n"
             "  stop 10\n"
             "  refuse 1 502 upstream_lost ran=maybe\n"
             "  ask 11 probe s1\n"},
};

START_TEST(script_output_matches)
{
    Fw_RelayScript_Check(&scripts[_i]);
}
END_TEST

int
main(void)
{
    TCase *tc = Fw_Suite_New("relay attempts");

    tcase_add_loop_test(tc, script_output_matches, 0, G_N_ELEMENTS(scripts));
    return Fw_Suite_Run(tc);
}
