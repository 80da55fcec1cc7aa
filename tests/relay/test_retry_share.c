/* Scripted tests of the relay's core: an instance's part of a retry budget. */
#include <check.h>
#include <glib.h>

#include "tests/base/suite.h"
#include "tests/relay/script.h"

static const struct fw_relay_script scripts[] = {
    /* Guards against restarts that each bring a new share of the budget. */
    {.name = "an instance that has started has no fixed part for a window",
     .text = "started\n"
             "options extra=100\n"
             "rules 1\n"
             "fresh 0\n"
             "list\n"
             "server s1 plain none\n"
             "server s2 plain none\n"
             "open 1 /read/x key=ka\n"
             "  ask 1 run s1 for 1 team=a left=10000\n"
             "answer 1 500\n"
             "  pass 1 from 1\n"
             "  finish 1\n"
             "  stop 1\n"
             "at 9900\n"
             "fresh 9900\n"
             "open 2 /read/x key=ka\n"
             "  ask 2 run s2 for 2 team=a left=10000\n"
             "answer 2 500\n"
             "  pass 2 from 2\n"
             "  finish 2\n"
             "  stop 2\n"
             "at 13000\n"
             "fresh 13000\n"
             "open 3 /read/x key=ka\n"
             "  ask 3 run s1 for 3 team=a left=10000\n"
             "answer 3 500\n"
             "  stop 3\n"
             "  ask 4 run s2 for 3 team=a left=10000\n"},
    /* Guards against requests of a pause that are counted when it ends. */
    {.name = "what was sent during a pause counts from its beginning",
     .text = "options extra=0\n"
             "rules 1\n"
             "fresh 0\n"
             "list\n"
             "server s1 plain none\n"
             "tick\n"
             "at 6000\n"
             "fresh 6000\n"
             "tick\n"
             "open 1 /read/x key=ka\n"
             "  ask 1 run s1 for 1 team=a left=10000\n"
             "answer 1 200\n"
             "  pass 1 from 1\n"
             "  finish 1\n"
             "  stop 1\n"
             "open 2 /read/x key=ka\n"
             "  ask 2 run s1 for 2 team=a left=10000\n"
             "answer 2 200\n"
             "  pass 2 from 2\n"
             "  finish 2\n"
             "  stop 2\n"
             "open 3 /read/x key=ka\n"
             "  ask 3 run s1 for 3 team=a left=10000\n"
             "answer 3 200\n"
             "  pass 3 from 3\n"
             "  finish 3\n"
             "  stop 3\n"
             "open 4 /read/x key=ka\n"
             "  ask 4 run s1 for 4 team=a left=10000\n"
             "answer 4 200\n"
             "  pass 4 from 4\n"
             "  finish 4\n"
             "  stop 4\n"
             "open 5 /read/x key=ka\n"
             "  ask 5 run s1 for 5 team=a left=10000\n"
             "answer 5 200\n"
             "  pass 5 from 5\n"
             "  finish 5\n"
             "  stop 5\n"
             "open 6 /read/x key=ka\n"
             "  ask 6 run s1 for 6 team=a left=10000\n"
             "answer 6 200\n"
             "  pass 6 from 6\n"
             "  finish 6\n"
             "  stop 6\n"
             "open 7 /read/x key=ka\n"
             "  ask 7 run s1 for 7 team=a left=10000\n"
             "answer 7 200\n"
             "  pass 7 from 7\n"
             "  finish 7\n"
             "  stop 7\n"
             "server s2 plain none\n"
             "at 14000\n"
             "fresh 14000\n"
             "tick\n"
             "at 15000\n"
             "fresh 15000\n"
             "open 8 /read/x key=ka\n"
             "  ask 8 run s2 for 8 team=a left=10000\n"
             "answer 8 500\n"
             "  pass 8 from 8\n"
             "  finish 8\n"
             "  stop 8\n"},
    /* Guards against an instance that retries nothing after its start. */
    {.name = "an instance that has started may retry part of its requests",
     .text = "started\n"
             "options extra=0\n"
             "rules 1\n"
             "fresh 0\n"
             "list\n"
             "server s1 plain none\n"
             "server s2 plain none\n"
             "open 1 /read/x key=ka\n"
             "  ask 1 run s1 for 1 team=a left=10000\n"
             "open 2 /read/x key=ka\n"
             "  ask 2 run s2 for 2 team=a left=10000\n"
             "open 3 /read/x key=ka\n"
             "  ask 3 run s2 for 3 team=a left=10000\n"
             "open 4 /read/x key=ka\n"
             "  ask 4 run s1 for 4 team=a left=10000\n"
             "open 5 /read/x key=ka\n"
             "  ask 5 run s1 for 5 team=a left=10000\n"
             "open 6 /read/x key=ka\n"
             "  ask 6 run s2 for 6 team=a left=10000\n"
             "answer 1 500\n"
             "  stop 1\n"
             "  ask 7 run s2 for 1 team=a left=10000\n"},
};

START_TEST(script)
{
    Fw_RelayScript_Check(&scripts[_i]);
}
END_TEST

int
main(void)
{
    TCase *tc = Fw_Suite_New("relay retry share");

    tcase_add_loop_test(tc, script, 0, G_N_ELEMENTS(scripts));
    return Fw_Suite_Run(tc);
}
