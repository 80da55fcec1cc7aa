/* Requests that arrive at an instance that has just started. */
#include "tests/base/suite.h"
#include "tests/relay/script.h"

static const struct fw_relay_script scripts[] = {
    /* Guards against rejections just before the configuration arrives. */
    {.name = "requests wait until the instance can serve",
     .text = "options start_wait_ms=400\n"
             "started\n"
             "open 1 /read/x key=ka\n"
             "open 2 /read/x key=kz\n"
             "at 40\n"
             "rules 1\n"
             "fresh 40\n"
             "server s1 plain none\n"
             "tick\n"
             "list\n"
             "tick\n"
             "registered\n"
             "tick\n"
             "  ask 1 run s1 for 1 team=a left=9960\n"
             "  refuse 2 401 unknown_key ran=no\n"
             "open 3 /read/x key=ka\n"
             "  ask 2 run s1 for 3 team=a left=10000\n"},
    {.name = "requests wait no longer than the setting says",
     .text = "options start_wait_ms=400\n"
             "started\n"
             "open 1 /read/x key=ka\n"
             "at 399\n"
             "tick\n"
             "at 400\n"
             "tick\n"
             "  refuse 1 503 no_configuration ran=no later\n"
             "open 2 /read/x key=ka\n"
             "  refuse 2 503 no_configuration ran=no later\n"},
    /* Guards against a request that is run after its caller has left. */
    {.name = "a caller leaves while its request waits",
     .text = "options start_wait_ms=400\n"
             "started\n"
             "open 1 /read/x key=ka\n"
             "gone 1\n"
             "rules 1\n"
             "fresh 0\n"
             "server s1 plain none\n"
             "list\n"
             "tick\n"},
    {.name = "a request waits no longer than its caller",
     .text = "options start_wait_ms=400\n"
             "started\n"
             "open 1 /read/x key=ka left_ms=100\n"
             "at 200\n"
             "tick\n"
             "  refuse 1 503 timeout ran=no later\n"},
    {.name = "an instance that stops rejects what waits",
     .text = "options start_wait_ms=400\n"
             "started\n"
             "open 1 /read/x key=ka\n"
             "drain\n"
             "tick\n"
             "  refuse 1 503 no_configuration ran=no later\n"},
    {.name = "nothing waits without the setting",
     .text = "started\n"
             "open 1 /read/x key=ka\n"
             "  refuse 1 503 no_configuration ran=no later\n"},
};

START_TEST(relay_script)
{
    Fw_RelayScript_Check(&scripts[_i]);
}
END_TEST

int
main(void)
{
    TCase *tc = Fw_Suite_New("starting");

    tcase_add_loop_test(tc, relay_script, 0, G_N_ELEMENTS(scripts));
    return Fw_Suite_Run(tc);
}
