/* Scripted tests of the relay's core: requests at one instance. */
#include "tests/base/suite.h"
#include "tests/relay/script.h"

static const struct fw_relay_script scripts[] = {
    /* Guards against a failure of one server shown to the caller. */
    {.name = "an idempotent request is retried after an error or lost "
             "connection",
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
     * Guards against running the request twice, and against a 503, which
     * would claim that it has not run.
     */
    {.name = "a request that must run once is not retried once it may have "
             "run",
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
    /* Guards against refusing a request that another server has room for. */
    {.name = "a request that certainly did not run is retried elsewhere",
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
     * Guards against a revoked key that keeps working at an instance
     * partitioned from the store. Routes that need no key are still served.
     */
    {.name = "keys are refused when the configuration is stale",
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
    /* Guards against a revoked key that works as its revocation is unread. */
    {.name = "keys are refused while the newest configuration can't be used",
     .text = "rules 1\n"
             "fresh 0\n"
             "list\n"
             "server s1 plain none\n"
             "at 1000\n"
             "unusable 2\n"
             "at 4100\n"
             "fresh 4000\n"
             "ready\n"
             "  ready=0\n"
             "open 1 /read/x key=ka\n"
             "  refuse 1 503 configuration_stale ran=no later\n"
             "open 2 /open/x\n"
             "  ask 1 run s1 for 2 left=10000\n"
             "rules 3 keys=1\n"
             "fresh 4100\n"
             "ready\n"
             "  ready=1\n"
             "open 3 /read/x key=ka\n"
             "  ask 2 run s1 for 3 team=a left=10000\n"
             "open 4 /read/x key=kb\n"
             "  refuse 4 401 unknown_key ran=no\n"},
    /* Guards against keys that expire for a record that was read again. */
    {.name =
         "an unusable configuration older than the one in force is ignored",
     .text = "rules 3\n"
             "fresh 0\n"
             "list\n"
             "server s1 plain none\n"
             "unusable 2\n"
             "at 4100\n"
             "fresh 4000\n"
             "open 1 /read/x key=ka\n"
             "  ask 1 run s1 for 1 team=a left=10000\n"},
    /* Guards against a request that goes elsewhere for want of its part. */
    {.name = "requests of a part that can't be used are rejected as not run",
     .text = "rules 1 unusable=/order/\n"
             "fresh 0\n"
             "list\n"
             "server s1 plain none\n"
             "open 1 /order/x key=ka\n"
             "  refuse 1 503 route_unusable ran=no later\n"
             "open 2 /read/x key=ka\n"
             "  ask 1 run s1 for 2 team=a left=10000\n"
             "rules 2 unusable=b\n"
             "open 3 /order/x key=ka\n"
             "  ask 2 run s1 for 3 team=a left=10000\n"
             "open 4 /order/x key=kb\n"
             "  refuse 4 503 team_unusable ran=no later\n"
             "open 5 /order/x key=kc\n"
             "  refuse 5 401 unknown_key ran=no\n"
             "rules 3 unusable=plain\n"
             "open 6 /read/x key=ka\n"
             "  refuse 6 503 service_unusable ran=no later\n"},
    /* Guards against names that are freed with the configuration before. */
    {.name = "a request outlives the configuration that routed it",
     .text = "rules 1\n"
             "fresh 0\n"
             "list\n"
             "server s1 plain none\n"
             "server s2 plain none\n"
             "open 1 /read/x key=kb\n"
             "  ask 1 run s1 for 1 team=b left=10000\n"
             "rules 2 keys=1\n"
             "rules 3 keys=1\n"
             "fail 1 104 sent\n"
             "  ask 2 run s2 for 1 team=b left=10000\n"
             "answer 2 200\n"
             "  pass 1 from 2\n"
             "  finish 1\n"
             "  stop 2\n"},
    {.name = "an older or equal configuration version is ignored",
     .text = "rules 5\n"
             "fresh 0\n"
             "server s1 plain none\n"
             "rules 4 keys=1\n"
             "rules 5 keys=1\n"
             "open 1 /read/x key=kb\n"
             "  ask 1 run s1 for 1 team=b left=10000\n"},
    {.name = "a stream takes a reservation, then prefill, then decode",
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
    /* Guards against waiting past the objective, or a prefill without room. */
    {.name = "a queued request is refused at its queue timeout",
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
    {.name = "the end of a stream starts a queued request",
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
     * Guards against placing a stream at an engine whose streams have grown,
     * which would preempt them.
     */
    {.name = "a stream's expected memory grows with its age",
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
     * Guards against treating the request as a plain one and passing the
     * response to its reservation on to the caller.
     */
    {.name = "a stream with token counts of 0 is still a stream",
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
     * Guards against losing a healthy engine's memory because one response was
     * lost. After two timeouts in a row the engine is suspected.
     */
    {.name = "an engine is skipped only after two timeouts in a row",
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
             "  ask 3 probe d1\n"
             "at 400\n"
             "tick\n"},
    {.name = "a full engine is asked again only after a delay",
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
    /* Guards against engines that keep working on abandoned requests. */
    {.name = "a caller's disconnect during prefill or decode frees memory",
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
    /* Guards against giving up a reservation when only the prefill failed. */
    {.name = "a failed prefill is retried and the reservation kept",
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
    /* Guards against memory leaked at both engines when the run is refused. */
    {.name = "KV cache and reservation are freed when a run is refused",
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
    /* Guards against refusing all streams when no prefill engine is left. */
    {.name = "the decode engine does the prefill if no other engine can",
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
    /* Guards against a truncated answer that looks complete to the caller. */
    {.name = "a stream that fails after its first event is cut",
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
    {.name = "a stream that fails before its first event is retried only if "
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

START_TEST(script_output_matches)
{
    Fw_RelayScript_Check(&scripts[_i]);
}
END_TEST

int
main(void)
{
    TCase *tc = Fw_Suite_New("relay requests");

    tcase_add_loop_test(tc, script_output_matches, 0, G_N_ELEMENTS(scripts));
    return Fw_Suite_Run(tc);
}
