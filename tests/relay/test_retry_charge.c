/* Scripted tests of the relay's core: what retries of generations cost. */
#include <check.h>
#include <glib.h>

#include "tests/base/suite.h"
#include "tests/relay/script.h"

static const struct fw_relay_script scripts[] = {
    /* Guards against prefills that go on when the budget has nothing left. */
    {.name = "a rejected prefill is not retried without budget",
     .text = "options extra=0\n"
             "rules 1\n"
             "fresh 0\n"
             "list\n"
             "server p1 llm prefill\n"
             "server p2 llm prefill\n"
             "server d1 llm decode\n"
             "open 1 /gen/x key=ka in=5000 out=4000\n"
             "  ask 1 hold d1 for 1 tokens=9000\n"
             "answer 1 200 name=H\n"
             "  ask 2 prefill p2 for 1 team=a\n"
             "answer 2 503 not-run\n"
             "  ask 3 drop-hold d1 hold=H\n"
             "  refuse 1 503 prompt_not_read ran=no later\n"},
    /* Guards against prefills that are repeated free after a slow failure. */
    {.name = "a prefill that fails late is charged",
     .text = "options extra=2\n"
             "rules 1\n"
             "fresh 0\n"
             "list\n"
             "server p1 llm prefill\n"
             "server p2 llm prefill\n"
             "server d1 llm decode\n"
             "open 1 /gen/x key=ka in=5000 out=4000\n"
             "  ask 1 hold d1 for 1 tokens=9000\n"
             "answer 1 200 name=H\n"
             "  ask 2 prefill p2 for 1 team=a\n"
             "at 1100\n"
             "answer 2 503 not-run\n"
             "  ask 3 drop-hold d1 hold=H\n"
             "  ask 4 hold d1 for 1 tokens=9000\n"
             "answer 4 200 name=I\n"
             "  ask 5 prefill p1 for 1 team=a\n"
             "answer 5 503 not-run\n"
             "  ask 6 drop-hold d1 hold=I\n"
             "  refuse 1 503 prompt_not_read ran=no later\n"},
    /* Guards against prefills that evacuations repeat free. */
    {.name = "a prefill for an engine that was evacuated is charged",
     .text = "options extra=0\n"
             "rules 1\n"
             "fresh 0\n"
             "list\n"
             "server p1 llm prefill\n"
             "server d1 llm decode domain=x\n"
             "server d2 llm decode domain=x\n"
             "open 1 /gen/x key=ka in=5000 out=4000\n"
             "  ask 1 hold d2 for 1 tokens=9000\n"
             "answer 1 200 name=H\n"
             "  ask 2 prefill p1 for 1 team=a\n"
             "evacuate x 5\n"
             "answer 2 200 name=K\n"
             "  ask 3 drop-kv p1 kv=K\n"
             "  ask 4 drop-hold d2 hold=H\n"
             "  refuse 1 503 engine_evacuated ran=no later\n"},
    /* Guards against charging calls that no engine has received. */
    {.name = "calls that reached no engine are not charged",
     .text = "options extra=0\n"
             "rules 1\n"
             "fresh 0\n"
             "list\n"
             "server p1 llm prefill\n"
             "server p2 llm prefill\n"
             "server d1 llm decode\n"
             "open 1 /gen/x key=ka in=5000 out=4000\n"
             "  ask 1 hold d1 for 1 tokens=9000\n"
             "answer 1 200 name=H\n"
             "  ask 2 prefill p2 for 1 team=a\n"
             "fail 2 111 unsent\n"
             "  ask 3 prefill p1 for 1 team=a\n"},
};

START_TEST(script)
{
    Fw_RelayScript_Check(&scripts[_i]);
}
END_TEST

int
main(void)
{
    TCase *tc = Fw_Suite_New("relay retry charge");

    tcase_add_loop_test(tc, script, 0, G_N_ELEMENTS(scripts));
    return Fw_Suite_Run(tc);
}
