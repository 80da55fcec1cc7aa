/*
 * Scripted tests of the relay's core: an instance that has lost its links to
 * all servers.
 */
#include <check.h>
#include <glib.h>

#include "tests/base/suite.h"
#include "tests/relay/script.h"

/* Two servers that can't be reached, and another instance that joins then. */
#define FW_LINKS_LOST                                                         \
    "rules 1\n"                                                               \
    "fresh 0\n"                                                               \
    "list\n"                                                                  \
    "server s1 plain none\n"                                                  \
    "server s2 plain none\n"                                                  \
    "open 1 /order/x key=ka\n"                                                \
    "  ask 1 run s1 for 1 team=a left=10000\n"                                \
    "fail 1 111 unsent\n"                                                     \
    "  ask 2 run s2 for 1 team=a left=10000\n"                                \
    "fail 2 111 unsent\n"                                                     \
    "  ask 3 run s1 for 1 team=a left=10000\n"                                \
    "fail 3 111 unsent\n"                                                     \
    "  ask 4 run s2 for 1 team=a left=10000\n"                                \
    "fail 4 111 unsent\n"                                                     \
    "  ask 5 run s1 for 1 team=a left=10000\n"                                \
    "fail 5 111 unsent\n"                                                     \
    "  ask 6 run s2 for 1 team=a left=10000\n"                                \
    "fail 6 111 unsent\n"                                                     \
    "  refuse 1 503 upstream_lost ran=no later\n"                             \
    "member n2\n"                                                             \
    "at 310\n"

static const struct fw_relay_script scripts[] = {
    /* Guards against callers who are failed although others could serve. */
    {.name = "requests go to another instance while no server responds",
     .text = FW_LINKS_LOST "open 2 /order/x key=ka\n"
                           "  ask 7 hand-over 127.0.0.9:1 for 2 left=10000\n"
                           "at 340\n"
                           "answer 7 200\n"
                           "  pass 2 from 7\n"
                           "  finish 2\n"
                           "  stop 7\n"
                           "open 3 /gen/x key=ka in=5000 out=4000\n"
                           "  ask 8 hand-over 127.0.0.9:1 for 3 left=10000\n"
                           "begun 8 200\n"
                           "  pass 3 from 8\n"
                           "at 400\n"
                           "answer 8 200\n"
                           "  finish 3\n"
                           "  stop 8\n"},
    /* Guards against an instance that never uses its links again. */
    {.name = "probes find out that a server responds again",
     .text = FW_LINKS_LOST "at 310\n"
                           "tick\n"
                           "  ask 7 probe s2\n"
                           "at 340\n"
                           "tick\n"
                           "answer 7 200\n"
                           "open 2 /order/x key=ka\n"
                           "  ask 8 run s2 for 2 team=a left=10000\n"
                           "at 700\n"
                           "tick\n"},
    /* Guards against requests that go to and fro between instances. */
    {.name = "a request that was handed over is not handed over again",
     .text =
         FW_LINKS_LOST "open 2 /order/x key=ka handed-over\n"
                       "  refuse 2 503 links_lost ran=no at-once elsewhere\n"},
    /* Guards against callers who are failed as one other can't serve them. */
    {.name = "an instance that can't serve requests refuses the handover",
     .text = "rules 1\n"
             "fresh 0\n"
             "list\n"
             "server s1 plain none\n"
             "at 5000\n"
             "open 1 /order/x key=ka handed-over\n"
             "  refuse 1 503 configuration_stale ran=no later elsewhere\n"
             "open 2 /order/x key=ka\n"
             "  refuse 2 503 configuration_stale ran=no later\n"
             "drain\n"
             "at 12000\n"
             "fresh 12000\n"
             "open 3 /order/x key=ka handed-over\n"
             "  refuse 3 503 stopping ran=no at-once elsewhere\n"},
    /* Guards against giving up while a third instance or a server might do. */
    {.name = "a request that no instance takes is sent to a server",
     .text = FW_LINKS_LOST "open 2 /order/x key=ka\n"
                           "  ask 7 hand-over 127.0.0.9:1 for 2 left=10000\n"
                           "at 313\n"
                           "answer 7 503 handover-refused\n"
                           "  ask 8 run s1 for 2 team=a left=9997\n"},
    /* Guards against a second run, and a refusal that is not true. */
    {.name = "an order whose instance is lost is not sent again",
     .text = FW_LINKS_LOST "open 2 /order/x key=ka\n"
                           "  ask 7 hand-over 127.0.0.9:1 for 2 left=10000\n"
                           "fail 7 104 sent\n"
                           "  refuse 2 502 instance_lost ran=maybe\n"},
    /* Guards against an allowance that is charged by both instances. */
    {.name = "the instance that hands over charges no allowance",
     .text = "rules 1 rate=300 burst=800\n"
             "fresh 0\n"
             "list\n"
             "server s1 plain none\n"
             "open 1 /order/x key=ka\n"
             "  ask 1 run s1 for 1 team=a left=10000\n"
             "fail 1 111 unsent\n"
             "  ask 2 run s1 for 1 team=a left=10000\n"
             "fail 2 111 unsent\n"
             "  ask 3 run s1 for 1 team=a left=10000\n"
             "fail 3 111 unsent\n"
             "  ask 4 run s1 for 1 team=a left=10000\n"
             "fail 4 111 unsent\n"
             "  ask 5 run s1 for 1 team=a left=10000\n"
             "fail 5 111 unsent\n"
             "  ask 6 run s1 for 1 team=a left=10000\n"
             "fail 6 111 unsent\n"
             "  refuse 1 503 upstream_lost ran=no later\n"
             "member n2\n"
             "at 310\n"
             "open 2 /order/x key=ka\n"
             "  ask 7 hand-over 127.0.0.9:1 for 2 left=10000\n"
             "open 3 /order/x key=ka\n"
             "  ask 8 hand-over 127.0.0.9:1 for 3 left=10000\n"
             "open 4 /order/x key=ka\n"
             "  ask 9 hand-over 127.0.0.9:1 for 4 left=10000\n"},
    /* Guards against work that goes on for a caller who has left. */
    {.name = "the call to the other instance ends with its caller",
     .text = FW_LINKS_LOST "open 2 /order/x key=ka\n"
                           "  ask 7 hand-over 127.0.0.9:1 for 2 left=10000\n"
                           "gone 2\n"
                           "  stop 7\n"},
};

START_TEST(script)
{
    Fw_RelayScript_Check(&scripts[_i]);
}
END_TEST

int
main(void)
{
    TCase *tc = Fw_Suite_New("relay handover");

    tcase_add_loop_test(tc, script, 0, G_N_ELEMENTS(scripts));
    return Fw_Suite_Run(tc);
}
