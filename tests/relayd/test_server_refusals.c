/*
 * Responses of servers with a status that, as an answer of the router, says
 * that a request has not run. Only a server that states this itself may be
 * believed.
 */
#include <string.h>

#include "tests/relayd/raw_server.h"

/** struct refusal_case - a server's response, and the caller's. */
struct refusal_case {
    const char *line;
    const char *status;
    const char *fields;
    const char *want;
};

#define FW_STAMP "Server-Stamp: raw.1\r\n"

static const struct refusal_case cases[] = {
    {"POST /order/x", "408 Request Timeout", FW_STAMP, "502"},
    {"POST /order/x", "421 Misdirected Request", FW_STAMP, "502"},
    {"POST /order/x", "429 Too Many Requests", FW_STAMP, "502"},
    {"POST /order/x", "503 Service Unavailable", FW_STAMP, "502"},
    {"POST /order/x", "503 Busy", FW_STAMP "Retry-After: 1\r\n", "502"},
    {"POST /order/x", "503 Busy",
     FW_STAMP "Content-Type: text/event-stream\r\n", "502"},
    {"POST /order/x", "421 Misdirected Request",
     FW_STAMP "Instance-Id: raw\r\n", "502"},
    {"GET /read/x", "429 Too Many Requests", FW_STAMP, "502"},
    {"POST /order/x", "503 Busy", "Not-Executed: 1\r\n", "503"},
    {"POST /order/x", "429 Busy", "Not-Executed: 1\r\n", "503"},
    {"POST /order/x", "421 Misdirected Request", "Not-Executed: 1\r\n", "503"},
    {"POST /order/x", "421 Misdirected Request", "Instance-Id: other\r\n",
     "503"},
    {"POST /order/x", "421 Misdirected Request",
     "Not-Executed: 1\r\nInstance-Id: raw\r\n", "503"},
    {"POST /order/x", "500 Error", FW_STAMP, "500"},
    {"POST /order/x", "504 Timeout", FW_STAMP, "504"},
    {"POST /order/x", "200 OK", FW_STAMP "Not-Executed: 1\r\n", "200"},
};

/** struct exchange - a caller's request and the server that gets it. */
struct exchange {
    struct raw_server raw;
    struct rig_conn *caller;
};

static int
is_answered_or_sent(void *ctx)
{
    struct exchange *x = ctx;

    return x->caller->received->len || x->raw.rig->conns->len > x->raw.n_seen;
}

/* Gives @t's response to each try until the caller has one. */
static void
answer_all(struct exchange *x, const struct refusal_case *t)
{
    Fw_Rig_RunUntil(is_answered_or_sent, x);
    while (!x->caller->received->len) {
        Fw_RawServer_Answer(Fw_RawServer_NextRequest(&x->raw), t->status,
                            t->fields, FW_RAW_LENGTH, "text");
        Fw_Rig_RunUntil(is_answered_or_sent, x);
    }
}

/* Guards against a promise to a caller that nobody has made. */
START_TEST(a_refusal_is_passed_on_only_if_its_server_states_it)
{
    const struct refusal_case *t = &cases[_i];
    char *want = g_strdup_printf("HTTP/1.1 %s ", t->want);
    struct router_env env;
    struct exchange x;
    struct rig_conn *c;

    Fw_RouterEnv_InitAndStart(&env);
    Fw_RawServer_Init(&x.raw, &env);
    c = x.caller = Fw_RouterEnv_SendRequest(&env, t->line, "");
    answer_all(&x, t);
    Fw_RigConn_Expect(c, "\r\n\r\n");
    ck_assert_msg(g_str_has_prefix(c->received->str, want), "%s: %s",
                  t->status, c->received->str);
    if (t->want[0] == '5' && !g_str_has_prefix(t->status, t->want)) {
        ck_assert_ptr_null(strstr(c->received->str, "Server-Stamp"));
    }
    Fw_RigConn_Close(c);
    Fw_RawServer_Free(&x.raw);
    Fw_RouterEnv_Free(&env);
    g_free(want);
}
END_TEST

static int
count_starts(const struct router_env *env)
{
    return Fw_WireServer_StartedCount(env->s1) +
           Fw_WireServer_StartedCount(env->s2) +
           Fw_WireServer_StartedCount(env->d1) +
           Fw_WireServer_StartedCount(env->d2);
}

/** struct unmarked_case - a request, and how often servers may run it. */
struct unmarked_case {
    const char *line;
    const char *fields;
    int most_runs;
};

static const struct unmarked_case unmarked_cases[] = {
    {"POST /order/x", "", 1},
    {"POST /outlook/x", FW_TOKENS, 1},
    {"GET /read/x", "", 3},
};

/* Guards against a second run after a refusal that states nothing. */
START_TEST(a_request_that_may_have_run_is_not_run_again)
{
    const struct unmarked_case *t =
        &unmarked_cases[_i % (int)G_N_ELEMENTS(unmarked_cases)];
    int turns = _i / (int)G_N_ELEMENTS(unmarked_cases);
    struct router_env env;
    struct rig_conn *c;

    Fw_RouterEnv_InitAndStart(&env);
    Fw_WireServer_SetFault(env.s1, FW_WIRE_FAULT_UNMARKED, 9);
    Fw_WireServer_SetFault(env.s2, FW_WIRE_FAULT_UNMARKED, 9);
    Fw_WireServer_SetFault(env.d1, FW_WIRE_FAULT_UNMARKED, 9);
    Fw_WireServer_SetFault(env.d2, FW_WIRE_FAULT_UNMARKED, 9);
    for (int i = 0; i <= turns; i++) {
        int before = count_starts(&env);

        c = Fw_RouterEnv_SendRequest(&env, t->line, t->fields);
        Fw_RigConn_Expect(c, "\r\n\r\n");
        ck_assert_int_le(count_starts(&env) - before, t->most_runs);
        ck_assert_msg(g_str_has_prefix(c->received->str, "HTTP/1.1 502 "),
                      "%s", c->received->str);
        Fw_RigConn_Close(c);
    }
    Fw_RouterEnv_Free(&env);
}
END_TEST

int
main(void)
{
    TCase *tc = Fw_Suite_New("refusals of servers");

    tcase_set_timeout(tc, 30);
    tcase_add_loop_test(tc,
                        a_refusal_is_passed_on_only_if_its_server_states_it, 0,
                        G_N_ELEMENTS(cases));
    tcase_add_loop_test(tc, a_request_that_may_have_run_is_not_run_again, 0,
                        4 * G_N_ELEMENTS(unmarked_cases));
    return Fw_Suite_Run(tc);
}
