/* Scripted runs of the relay's core: requests of one instance. See script.c.
 */
#include "tests/base/suite.h"
#include "tests/relay/script.h"

static const struct fw_relay_script scripts[] = {
    /*
     * A server answers 500, or its connection breaks, while a caller reads a
     * figure. Another server has it; the caller should notice nothing.
     */
    {.name = "a repeatable request goes to another server after a failure",
     .text = "rules 1\n"
             "fresh 0\n"
             "list\n"
             "server s1 plain none\n"
             "server s2 plain none\n"
             "open 1 /read/x key=ka\n"
             "  ask 1 run s1 for 1 team=a left=10000\n"
             "answer 1 500\n"
             "  stop 1\n"
             "  ask 2 run s2 for 1 team=a left=10000\n"
             "answer 2 200\n"
             "  pass 1 from 2\n"
             "  finish 1\n"
             "  stop 2\n"
             "open 2 /read/x key=ka\n"
             "  ask 3 run s2 for 2 team=a left=10000\n"
             "fail 3 104 sent\n"
             "  ask 4 run s1 for 2 team=a left=10000\n"
             "answer 4 200\n"
             "  pass 2 from 4\n"
             "  finish 2\n"
             "  stop 4\n"},
    /*
     * The connection breaks while a server works on an order. Nobody can tell
     * whether it ran; sending it again could double it, and a refusal would
     * say that it has not run.
     */
    {.name = "a request that must run once is never sent again once it may "
             "have run",
     .text = "rules 1\n"
             "fresh 0\n"
             "server s1 plain none\n"
             "server s2 plain none\n"
             "open 1 /order/x key=ka\n"
             "  ask 1 run s1 for 1 team=a left=10000\n"
             "fail 1 104 sent\n"
             "  refuse 1 502 upstream_lost ran=maybe\n"
             "open 2 /order/x key=ka\n"
             "  ask 2 run s2 for 2 team=a left=10000\n"
             "answer 2 500\n"
             "  pass 2 from 2\n"
             "  finish 2\n"
             "  stop 2\n"},
    /*
     * A full server turns an order away and says that it did not run it. The
     * order goes to another server; with none left the caller is told when to
     * come back.
     */
    {.name = "what a server says it did not run may go to another one",
     .text = "rules 1\n"
             "fresh 0\n"
             "server s1 plain none\n"
             "server s2 plain none\n"
             "open 1 /order/x key=ka\n"
             "  ask 1 run s1 for 1 team=a left=10000\n"
             "answer 1 503 not-run\n"
             "  ask 2 run s2 for 1 team=a left=10000\n"
             "answer 2 200\n"
             "  pass 1 from 2\n"
             "  finish 1\n"
             "  stop 2\n"
             "open 2 /order/x key=ka\n"
             "  ask 3 run s2 for 2 team=a left=10000\n"
             "fail 3 111 unsent\n"
             "  ask 4 run s1 for 2 team=a left=10000\n"
             "answer 4 200\n"
             "  pass 2 from 4\n"
             "  finish 2\n"
             "  stop 4\n"},
    {.name = "a request without a route or key is refused",
     .text = "rules 1\n"
             "fresh 0\n"
             "server s1 plain none\n"
             "open 1 /none/x key=ka\n"
             "  refuse 1 404 no_route ran=no\n"
             "open 2 /read/x\n"
             "  refuse 2 401 unknown_key ran=no\n"
             "open 3 /read/x key=wrong\n"
             "  refuse 3 401 unknown_key ran=no\n"
             "open 4 /open/x key=wrong\n"
             "  ask 1 run s1 for 4 left=10000\n"},
    /*
     * An instance is cut off from the store when a key is withdrawn. It can't
     * know, so after a while no key counts, the instance says that it is not
     * ready, and callers are sent to others. What needs no key goes on.
     */
    {.name =
         "a withdrawn key stops working although the store is out of reach",
     .text = "rules 1\n"
             "fresh 0\n"
             "list\n"
             "server s1 plain none\n"
             "at 3900\n"
             "ready\n"
             "  ready=1\n"
             "open 1 /read/x key=ka\n"
             "  ask 1 run s1 for 1 team=a left=10000\n"
             "at 4100\n"
             "ready\n"
             "  ready=0\n"
             "open 2 /read/x key=ka\n"
             "  refuse 2 503 configuration_stale ran=no later\n"
             "open 3 /open/x\n"
             "  ask 2 run s1 for 3 left=10000\n"
             "at 4200\n"
             "fresh 4150\n"
             "ready\n"
             "  ready=1\n"
             "rules 2 keys=1\n"
             "open 4 /read/x key=kb\n"
             "  refuse 4 401 unknown_key ran=no\n"},
    {.name = "an older configuration never comes back",
     .text = "rules 5\n"
             "fresh 0\n"
             "server s1 plain none\n"
             "rules 4 keys=1\n"
             "rules 5 keys=1\n"
             "open 1 /read/x key=kb\n"
             "  ask 1 run s1 for 1 team=b left=10000\n"},
    {.name = "room is reserved before the prompt is read, and the stream goes "
             "through",
     .text = "rules 1\n"
             "fresh 0\n"
             "list\n"
             "server p1 llm prefill\n"
             "server d1 llm decode\n"
             "open 1 /gen/x key=ka in=5000 out=4000\n"
             "  ask 1 hold d1 for 1 tokens=9000\n"
             "load d1\n"
             "  running=1 reserved=6333 reading=0\n"
             "answer 1 200 name=H\n"
             "  ask 2 prefill p1 for 1 team=a\n"
             "load p1\n"
             "  running=0 reserved=0 reading=5000\n"
             "answer 2 200 name=K\n"
             "  ask 3 run d1 for 1 hold=H kv=K team=a left=10000\n"
             "load p1\n"
             "  running=0 reserved=0 reading=0\n"
             "begun 3 200\n"
             "  pass 1 from 3\n"
             "answer 3 200\n"
             "  finish 1\n"
             "load d1\n"
             "  running=0 reserved=0 reading=0\n"},
    /*
     * All engines are full at a peak. Waiting longer than the objective helps
     * nobody: the caller is told when to come back, and nothing was read in
     * vain.
     */
    {.name =
         "without room a request waits, and is refused when its time is over",
     .text = "rules 1 kv=15000\n"
             "fresh 0\n"
             "server p1 llm prefill\n"
             "server d1 llm decode\n"
             "open 1 /gen/x key=ka in=5000 out=5000\n"
             "  ask 1 hold d1 for 1 tokens=10000\n"
             "answer 1 200 name=H\n"
             "  ask 2 prefill p1 for 1 team=a\n"
             "open 2 /gen/x key=ka in=5000 out=9000\n"
             "at 300\n"
             "tick\n"
             "at 520\n"
             "tick\n"
             "  refuse 2 503 no_room ran=no later\n"},
    {.name = "the end of a stream makes room for the one that waits",
     .text = "rules 1 kv=15000\n"
             "fresh 0\n"
             "server p1 llm prefill\n"
             "server d1 llm decode\n"
             "open 1 /gen/x key=ka in=5000 out=9000\n"
             "  ask 1 hold d1 for 1 tokens=14000\n"
             "answer 1 200 name=H\n"
             "  ask 2 prefill p1 for 1 team=a\n"
             "answer 2 200 name=K\n"
             "  ask 3 run d1 for 1 hold=H kv=K team=a left=10000\n"
             "begun 3 200\n"
             "  pass 1 from 3\n"
             "open 2 /gen/x key=ka in=5000 out=9000\n"
             "answer 3 200\n"
             "  finish 1\n"
             "  ask 4 hold d1 for 2 tokens=14000\n"},
    /*
     * Streams take little memory at first and all of it at their end. An
     * engine whose streams are old has less room than their number says; a
     * further one would make it preempt them, and their callers' answers
     * stop for a while.
     */
    {.name = "an old stream counts as what it has grown to",
     .text = "rules 1 kv=23000\n"
             "fresh 0\n"
             "server p1 llm prefill\n"
             "server d1 llm decode\n"
             "open 1 /gen/x key=ka in=5000 out=9000\n"
             "  ask 1 hold d1 for 1 tokens=14000\n"
             "answer 1 200 name=H\n"
             "  ask 2 prefill p1 for 1 team=a\n"
             "answer 2 200 name=K\n"
             "  ask 3 run d1 for 1 hold=H kv=K team=a left=10000\n"
             "begun 3 200\n"
             "  pass 1 from 3\n"
             "load d1\n"
             "  running=1 reserved=8000 reading=0\n"
             "at 4000\n"
             "fresh 4000\n"
             "tick\n"
             "load d1\n"
             "  running=1 reserved=10200 reading=0\n"
             "open 2 /gen/x key=ka in=5000 out=9000\n"
             "load d1\n"
             "  running=1 reserved=10200 reading=0\n"
             "answer 3 200\n"
             "  finish 1\n"
             "  ask 4 hold d1 for 2 tokens=14000\n"},
    /*
     * A caller says that its prompt and answer have no tokens. Taken for a
     * plain request halfway, it would be given the engine's answer to the
     * reservation as its own.
     */
    {.name = "a stream that says it takes nothing is still a stream",
     .text = "rules 1\n"
             "fresh 0\n"
             "server p1 llm prefill\n"
             "server d1 llm decode\n"
             "open 1 /gen/x key=ka in=0 out=0\n"
             "  ask 1 hold d1 for 1 tokens=0\n"
             "answer 1 200 name=H\n"
             "  ask 2 prefill p1 for 1 team=a\n"
             "answer 2 200 name=K\n"
             "  ask 3 run d1 for 1 hold=H kv=K team=a left=10000\n"},
    /*
     * An engine's answer to a reservation is lost on the way. The engine is
     * well; left alone for it, its memory would be missed at a peak. Two in a
     * row look like an engine that is gone.
     */
    {.name = "one lost answer does not take an engine away",
     .text = "rules 1\n"
             "fresh 0\n"
             "server p1 llm prefill\n"
             "server d1 llm decode\n"
             "open 1 /gen/x key=ka in=5000 out=4000\n"
             "  ask 1 hold d1 for 1 tokens=9000\n"
             "at 125\n"
             "tick\n"
             "  stop 1\n"
             "at 200\n"
             "tick\n"
             "  ask 2 hold d1 for 1 tokens=9000\n"
             "at 325\n"
             "tick\n"
             "  stop 2\n"
             "at 400\n"
             "tick\n"},
    {.name = "an engine that has no room is asked again only after a while",
     .text = "rules 1\n"
             "fresh 0\n"
             "server p1 llm prefill\n"
             "server d1 llm decode\n"
             "open 1 /gen/x key=ka in=5000 out=4000\n"
             "  ask 1 hold d1 for 1 tokens=9000\n"
             "answer 1 503 not-run\n"
             "at 30\n"
             "tick\n"
             "at 80\n"
             "tick\n"
             "  ask 2 hold d1 for 1 tokens=9000\n"},
    /*
     * A caller gives up while its prompt is being read, or while tokens are
     * generated. Engines would go on for nobody and their memory stay taken.
     */
    {.name = "a caller who leaves frees what was held for it",
     .text = "rules 1\n"
             "fresh 0\n"
             "server p1 llm prefill\n"
             "server d1 llm decode\n"
             "open 1 /gen/x key=ka in=5000 out=4000\n"
             "  ask 1 hold d1 for 1 tokens=9000\n"
             "answer 1 200 name=H\n"
             "  ask 2 prefill p1 for 1 team=a\n"
             "gone 1\n"
             "  stop 2\n"
             "  ask 3 drop-hold d1 hold=H\n"
             "load p1\n"
             "  running=0 reserved=0 reading=0\n"
             "load d1\n"
             "  running=0 reserved=0 reading=0\n"
             "open 2 /gen/x key=ka in=5000 out=4000\n"
             "  ask 4 hold d1 for 2 tokens=9000\n"
             "answer 4 200 name=H2\n"
             "  ask 5 prefill p1 for 2 team=a\n"
             "answer 5 200 name=K2\n"
             "  ask 6 run d1 for 2 hold=H2 kv=K2 team=a left=10000\n"
             "begun 6 200\n"
             "  pass 2 from 6\n"
             "gone 2\n"
             "  stop 6\n"
             "load d1\n"
             "  running=0 reserved=0 reading=0\n"},
    /*
     * The prefill engine crashes. The room at the decode engine was hard to
     * get and is kept; another engine reads the prompt.
     */
    {.name = "a prompt is read elsewhere when its prefill engine is lost",
     .text = "rules 1\n"
             "fresh 0\n"
             "server p1 llm prefill\n"
             "server p2 llm prefill\n"
             "server d1 llm decode\n"
             "open 1 /gen/x key=ka in=5000 out=4000\n"
             "  ask 1 hold d1 for 1 tokens=9000\n"
             "answer 1 200 name=H\n"
             "  ask 2 prefill p2 for 1 team=a\n"
             "fail 2 111 unsent\n"
             "  ask 3 prefill p1 for 1 team=a\n"
             "answer 3 200 name=K\n"
             "  ask 4 run d1 for 1 hold=H kv=K team=a left=10000\n"
             "begun 4 200\n"
             "  pass 1 from 4\n"
             "answer 4 200\n"
             "  finish 1\n"},
    /*
     * The decode engine turns a run away after its prompt was read. The KV
     * cache at the prefill engine and the reservation are given back, and the
     * request starts over elsewhere.
     */
    {.name = "a kv cache that nobody takes is freed",
     .text = "rules 1\n"
             "fresh 0\n"
             "server p1 llm prefill\n"
             "server d1 llm decode\n"
             "server d2 llm decode\n"
             "open 1 /gen/x key=ka in=5000 out=4000\n"
             "  ask 1 hold d2 for 1 tokens=9000\n"
             "answer 1 200 name=H\n"
             "  ask 2 prefill p1 for 1 team=a\n"
             "answer 2 200 name=K\n"
             "  ask 3 run d2 for 1 hold=H kv=K team=a left=10000\n"
             "answer 3 503 not-run\n"
             "  ask 4 drop-kv p1 kv=K\n"
             "  ask 5 drop-hold d2 hold=H\n"
             "  ask 6 hold d1 for 1 tokens=9000\n"
             "answer 6 200 name=H2\n"
             "  ask 7 prefill p1 for 1 team=a\n"
             "answer 7 200 name=K2\n"
             "  ask 8 run d1 for 1 hold=H2 kv=K2 team=a left=10000\n"
             "begun 8 200\n"
             "  pass 1 from 8\n"
             "answer 8 200\n"
             "  finish 1\n"},
    /*
     * The only prefill engine is lost. Rather than to refuse all, decode
     * engines read prompts themselves, more slowly.
     */
    {.name = "a prompt is read by its decode engine when no other engine can",
     .text = "rules 1\n"
             "fresh 0\n"
             "server d1 llm decode\n"
             "open 1 /gen/x key=ka in=5000 out=4000\n"
             "  ask 1 hold d1 for 1 tokens=9000\n"
             "answer 1 200 name=H\n"
             "  ask 2 run d1 for 1 hold=H team=a left=10000\n"
             "begun 2 200\n"
             "  pass 1 from 2\n"
             "answer 2 200\n"
             "  finish 1\n"},
    /*
     * The engine is lost in the middle of an answer. The caller must see that
     * the answer is not whole.
     */
    {.name = "a stream that broke off is cut, not ended",
     .text = "rules 1\n"
             "fresh 0\n"
             "server p1 llm prefill\n"
             "server d1 llm decode\n"
             "open 1 /gen/x key=ka in=5000 out=4000\n"
             "  ask 1 hold d1 for 1 tokens=9000\n"
             "answer 1 200 name=H\n"
             "  ask 2 prefill p1 for 1 team=a\n"
             "answer 2 200 name=K\n"
             "  ask 3 run d1 for 1 hold=H kv=K team=a left=10000\n"
             "begun 3 200\n"
             "  pass 1 from 3\n"
             "fail 3 104 sent\n"
             "  cut 1\n"
             "load d1\n"
             "  running=0 reserved=0 reading=0\n"},
    {.name = "a run that broke off before its first event is repeated only if "
             "resumable",
     .text = "rules 1\n"
             "fresh 0\n"
             "server p1 llm prefill\n"
             "server d1 llm decode\n"
             "server d2 llm decode\n"
             "open 1 /gen/x key=ka in=5000 out=4000\n"
             "  ask 1 hold d2 for 1 tokens=9000\n"
             "answer 1 200 name=H\n"
             "  ask 2 prefill p1 for 1 team=a\n"
             "answer 2 200 name=K\n"
             "  ask 3 run d2 for 1 hold=H kv=K team=a left=10000\n"
             "fail 3 104 sent\n"
             "  refuse 1 502 engine_lost ran=maybe\n"
             "open 2 /resume/x key=ka in=5000 out=4000\n"
             "  ask 4 hold d2 for 2 tokens=9000\n"
             "answer 4 200 name=H\n"
             "  ask 5 prefill p1 for 2 team=a\n"
             "answer 5 200 name=K\n"
             "  ask 6 run d2 for 2 hold=H kv=K team=a left=10000\n"
             "fail 6 104 sent\n"
             "  ask 7 hold d1 for 2 tokens=9000\n"},
};

START_TEST(a_script_runs_as_written)
{
    Fw_RelayScript_Check(&scripts[_i]);
}
END_TEST

int
main(void)
{
    TCase *tc = Fw_Suite_New("relay requests");

    tcase_add_loop_test(tc, a_script_runs_as_written, 0,
                        G_N_ELEMENTS(scripts));
    return Fw_Suite_Run(tc);
}
