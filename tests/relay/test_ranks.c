/* Scripted tests of the relay's core: precedence of ranks. */
#include "tests/base/suite.h"
#include "tests/relay/script.h"

#define FW_WORLD                                                              \
    "options precedence=1 queue_ms=0\n"                                       \
    "rules 1 rank_b=2 slots=8 kv=20000 timeout_ms=14000\n"                    \
    "fresh 0\n"                                                               \
    "registered\n"                                                            \
    "member n2\n"                                                             \
    "server d1 llm decode\n"                                                  \
    "server p1 llm prefill\n"                                                 \
    "list\n"

static const struct fw_relay_script scripts[] = {
    /* Guards against a less urgent request that takes what others need. */
    {.name = "a less urgent request waits for more urgent ones elsewhere",
     .text = FW_WORLD
     "logs\n"
     "demand n2 0 waiting=3 tokens=20000\n"
     "open 1 /gen/x key=kb in=5000 out=400\n"
     "  5 holding_back "
     "\"service\":\"llm\",\"resource\":\"memory\",\"free\":15399,\"needed\":"
     "20000\n"
     "  6 held_back "
     "\"id\":\"1\",\"rank\":2,\"reason\":\"reserved\",\"resource\":\"memory\","
     "\"free\":15399,\"needed\":20000,\"after_ms\":0\n"
     "tick\n"
     "at 100\n"
     "demand n2 0 waiting=0 tokens=0\n"
     "tick\n"
     "  ask 1 hold d1 for 1 tokens=5400\n"
     "answer 1 200 name=H\n"
     "  ask 2 prefill p1 for 1 team=b\n"
     "at 150\n"
     "answer 2 200 name=K\n"
     "  ask 3 run d1 for 1 hold=H kv=K team=b left=13850\n"
     "  6 sent "
     "\"id\":\"1\",\"route\":\"llm\",\"team\":\"b\",\"cost\":5400,\"server\":"
     "\"d1\",\"reader\":\"p1\",\"in\":5000,\"most_out\":400,\"hint\":-1,"
     "\"tokens\":5133,\"after_ms\":150\n"
     "begun 3 200\n"
     "  pass 1 from 3\n"
     "at 1200\n"
     "tick\n"
     "  5 holding_back_ended \"service\":\"llm\"\n"},
    /* Guards against a request held back that keeps others from an engine. */
    {.name = "a more urgent request goes first",
     .text = FW_WORLD "demand n2 0 waiting=3 tokens=20000\n"
                      "open 1 /gen/x key=kb in=5000 out=400\n"
                      "open 2 /gen/x key=ka in=5000 out=400\n"
                      "  ask 1 hold d1 for 2 tokens=5400\n"},
    /* Guards against a wait for an instance that no longer reports. */
    {.name = "old demand holds nothing back",
     .text = FW_WORLD "demand n2 0 waiting=3 tokens=20000\n"
                      "open 1 /gen/x key=kb in=5000 out=400\n"
                      "at 580\n"
                      "tick\n"
                      "at 600\n"
                      "tick\n"
                      "  ask 1 hold d1 for 1 tokens=5400\n"},
    /* Guards against a rejection of a request that can be served late. */
    {.name = "a less urgent request waits as long as it can be served",
     .text = FW_WORLD "open 1 /gen/x key=ka in=5000 out=9000\n"
                      "  ask 1 hold d1 for 1 tokens=14000\n"
                      "answer 1 200 name=H\n"
                      "  ask 2 prefill p1 for 1 team=a\n"
                      "answer 2 200 name=K\n"
                      "  ask 3 run d1 for 1 hold=H kv=K team=a left=14000\n"
                      "begun 3 200\n"
                      "  pass 1 from 3\n"
                      "open 2 /gen/x key=kb in=9000 out=9000\n"
                      "at 700\n"
                      "tick\n"
                      "at 9700\n"
                      "fresh 9700\n"
                      "tick\n"
                      "at 9950\n"
                      "tick\n"
                      "  refuse 2 503 no_room ran=no later\n"},
    /* Guards against requests that wait until their callers have left. */
    {.name = "a less urgent request waits no longer than its caller",
     .text = "options precedence=1 queue_ms=0 patience=4\n"
             "rules 1 rank_b=2 slots=8 kv=20000 timeout_ms=14000\n"
             "fresh 0\n"
             "registered\n"
             "member n2\n"
             "server d1 llm decode\n"
             "server p1 llm prefill\n"
             "list\n"
             "open 1 /gen/x key=ka in=5000 out=9000\n"
             "  ask 1 hold d1 for 1 tokens=14000\n"
             "answer 1 200 name=H\n"
             "  ask 2 prefill p1 for 1 team=a\n"
             "answer 2 200 name=K\n"
             "  ask 3 run d1 for 1 hold=H kv=K team=a left=14000\n"
             "begun 3 200\n"
             "  pass 1 from 3\n"
             "demand n2 0 waiting=9 tokens=90000 ended=1000 "
             "ended_tokens=14000\n"
             "open 2 /gen/x key=kb in=9000 out=9000\n"
             "  refuse 2 503 held_back ran=no later\n"},
    /* Guards against a wait in vain. */
    {.name = "a request that can't be served in time is rejected at once",
     .text = FW_WORLD
     "open 1 /gen/x key=ka in=5000 out=400\n"
     "  ask 1 hold d1 for 1 tokens=5400\n"
     "demand n2 2 waiting=100 tokens=600000 ended=1000 ended_tokens=5000\n"
     "open 2 /gen/x key=kb in=5000 out=400\n"
     "  refuse 2 503 held_back ran=no later\n"},
    /* Guards against a prompt in a queue that keeps urgent ones waiting. */
    {.name = "a less urgent request gives up its reservation before prefill",
     .text = FW_WORLD
     "logs\n"
     "open 1 /gen/x key=kb in=8000 out=400\n"
     "  ask 1 hold d1 for 1 tokens=8400\n"
     "answer 1 200 name=H\n"
     "  ask 2 prefill p1 for 1 team=b\n"
     "open 2 /gen/x key=kb in=8000 out=400\n"
     "  ask 3 hold d1 for 2 tokens=8400\n"
     "answer 3 200 name=H2\n"
     "  ask 4 prefill p1 for 2 team=b\n"
     "open 3 /gen/x key=ka in=6000 out=400\n"
     "  5 yielded \"id\":\"2\",\"rank\":2,\"server\":\"d1\",\"charged\":1\n"
     "  stop 4\n"
     "  ask 5 drop-hold d1 hold=H2\n"
     "  ask 6 hold d1 for 3 tokens=6400\n"
     "load p1\n"
     "  running=0 reserved=0 reading=8000\n"
     "open 4 /gen/x key=ka in=6000 out=400\n"
     "  5 holding_back "
     "\"service\":\"llm\",\"resource\":\"memory\",\"free\":0,\"needed\":0\n"
     "  6 held_back "
     "\"id\":\"2\",\"rank\":2,\"reason\":\"reserved\",\"resource\":\"memory\","
     "\"free\":0,\"needed\":0,\"after_ms\":0\n"},
    /* Guards against precedence in a deployment that has one rank. */
    {.name = "requests of one rank are placed as they come",
     .text = "options precedence=1 queue_ms=0\n"
             "rules 1 slots=8 kv=20000\n"
             "fresh 0\n"
             "member n2\n"
             "server d1 llm decode\n"
             "list\n"
             "demand n2 0 waiting=3 tokens=20000\n"
             "open 1 /gen/x key=kb in=5000 out=400\n"
             "  ask 1 hold d1 for 1 tokens=5400\n"},
    /* Guards against a deployment that is served otherwise for one team. */
    {.name = "the ranks of teams alone hold nothing back by default",
     .text = "options precedence=2 queue_ms=0\n"
             "rules 1 rank_b=2 slots=8 kv=20000 timeout_ms=14000\n"
             "fresh 0\n"
             "registered\n"
             "member n2\n"
             "server d1 llm decode\n"
             "server p1 llm prefill\n"
             "list\n"
             "demand n2 0 waiting=3 tokens=20000\n"
             "open 1 /gen/x key=kb in=5000 out=400\n"
             "  ask 1 hold d1 for 1 tokens=5400\n"},
};

START_TEST(script_output_matches)
{
    Fw_RelayScript_Check(&scripts[_i]);
}
END_TEST

int
main(void)
{
    TCase *tc = Fw_Suite_New("relay ranks");

    tcase_add_loop_test(tc, script_output_matches, 0, G_N_ELEMENTS(scripts));
    return Fw_Suite_Run(tc);
}
