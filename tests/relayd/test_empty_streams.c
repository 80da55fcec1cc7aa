/*
 * Event streams that nothing but their connection ends, before their first
 * event or inside a comment.
 */
#include <string.h>

#include "tests/relayd/raw_server.h"

#define FW_TYPE "Content-Type: text/event-stream\r\n"
#define FW_EVENT "id: 1\ndata: a\n\n"

static const struct {
    const char *line;
    const char *fields;
    const char *body;
    int is_whole; /* when the connection ends it */
} cases[] = {
    {"POST /outlook/x", FW_TYPE, "", 0},
    {"POST /outlook/x", "", "", 0},
    {"POST /order/x", FW_TYPE, "", 0},
    {"POST /outlook/x", FW_TYPE, ": wait\n\n", 0},
    {"POST /outlook/x", FW_TYPE, FW_EVENT ": no", 0},
    {"POST /outlook/x", FW_TYPE, FW_EVENT ": note\n", 1},
    {"POST /outlook/x", FW_TYPE, FW_EVENT ": note\n\n", 1},
    {"POST /outlook/x", FW_TYPE, FW_EVENT, 1},
};

/*
 * Whether the response was given to its end, 0 if it was broken off; waits for
 * either.
 */
static int
is_given_whole(struct rig_conn *c)
{
    Fw_RigConn_ExpectEof(c);
    return g_str_has_prefix(c->received->str, "HTTP/1.1 200 ") &&
           (strstr(c->received->str, "Content-Length: ") ||
            g_str_has_suffix(c->received->str, "\r\n0\r\n\r\n"));
}

static void
check_case(struct router_env *env, struct raw_server *raw, size_t i,
           enum raw_framing framing, int is_whole)
{
    struct rig_conn *c =
        Fw_RouterEnv_SendRequest(env, cases[i].line, "Connection: close\r\n");

    Fw_RawServer_Answer(Fw_RawServer_NextRequest(raw), "200 OK",
                        cases[i].fields, framing, cases[i].body);
    ck_assert_msg(is_given_whole(c) == is_whole, "case %zu: %s", i,
                  c->received->str);
    Fw_RigConn_Close(c);
}

/* Guards against callers who take the answer of a crashed server for empty. */
START_TEST(a_closed_connection_ends_no_stream_before_its_first_event)
{
    struct router_env env;
    struct raw_server raw;

    Fw_RouterEnv_InitAndStart(&env);
    Fw_RawServer_Init(&raw, &env);
    for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
        check_case(&env, &raw, i, FW_RAW_CLOSE, cases[i].is_whole);
    }
    Fw_RawServer_Free(&raw);
    Fw_RouterEnv_Free(&env);
}
END_TEST

/* Guards against empty streams that their server ends, taken for broken. */
START_TEST(a_server_may_end_a_stream_without_events)
{
    struct router_env env;
    struct raw_server raw;

    Fw_RouterEnv_InitAndStart(&env);
    Fw_RawServer_Init(&raw, &env);
    for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
        check_case(&env, &raw, i, FW_RAW_CHUNKS, 1);
        check_case(&env, &raw, i, FW_RAW_LENGTH, 1);
    }
    Fw_RawServer_Free(&raw);
    Fw_RouterEnv_Free(&env);
}
END_TEST

/* Guards against responses to HEAD that are taken for broken streams. */
START_TEST(a_response_without_a_body_is_whole)
{
    struct router_env env;
    struct raw_server raw;
    struct rig_conn *c;

    Fw_RouterEnv_InitAndStart(&env);
    Fw_RawServer_Init(&raw, &env);
    c = Fw_RouterEnv_SendRequest(&env, "HEAD /read/x", "");
    Fw_RawServer_Answer(Fw_RawServer_NextRequest(&raw), "200 OK", FW_TYPE,
                        FW_RAW_CLOSE, "");
    Fw_RigConn_Expect(c, "\r\n\r\n");
    ck_assert(g_str_has_prefix(c->received->str, "HTTP/1.1 200 "));
    Fw_RigConn_Close(c);
    Fw_RawServer_Free(&raw);
    Fw_RouterEnv_Free(&env);
}
END_TEST

int
main(void)
{
    TCase *tc = Fw_Suite_New("empty streams");

    tcase_add_test(tc,
                   a_closed_connection_ends_no_stream_before_its_first_event);
    tcase_add_test(tc, a_server_may_end_a_stream_without_events);
    tcase_add_test(tc, a_response_without_a_body_is_whole);
    return Fw_Suite_Run(tc);
}
