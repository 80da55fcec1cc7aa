/*
 * Event streams whose server names no Content-Type: the route says that the
 * response is one.
 */
#include <string.h>

#include "tests/relayd/raw_server.h"

static const char events[] = "id: 1\ndata: a\n\nid: 2\ndata: b\n\n";
static const char partial[] = "id: 1\ndata: a\n\nid: 2\ndat";

static struct rig_conn *
ask(struct router_env *env, struct raw_server *raw, const char *status,
    const char *fields, enum raw_framing framing, const char *body)
{
    struct rig_conn *c = Fw_RouterEnv_SendRequest(env, "POST /outlook/x", "");

    Fw_RawServer_Answer(Fw_RawServer_NextRequest(raw), status, fields, framing,
                        body);
    return c;
}

/* Whether a response of either framing has been received to its end. */
static int
is_whole(void *ctx)
{
    const struct rig_conn *c = ctx;
    const char *length = strstr(c->received->str, "Content-Length: ");
    const char *body = strstr(c->received->str, "\r\n\r\n");

    if (!length) {
        return g_str_has_suffix(c->received->str, "\r\n0\r\n\r\n");
    }
    return body && strlen(body + 4) == g_ascii_strtoull(length + 16, NULL, 10);
}

/* Guards against callers who take the stream of a crashed server for whole. */
START_TEST(a_stream_without_a_type_is_broken_inside_an_event)
{
    struct router_env env;
    struct raw_server raw;
    struct rig_conn *c;

    Fw_RouterEnv_InitAndStart(&env);
    Fw_RawServer_Init(&raw, &env);
    c = ask(&env, &raw, "200 OK", "", (enum raw_framing)_i, partial);
    Fw_RigConn_ExpectEof(c);
    ck_assert_ptr_nonnull(strstr(c->received->str, "HTTP/1.1 200 "));
    ck_assert_ptr_null(strstr(c->received->str, "\r\n0\r\n"));
    ck_assert_ptr_null(strstr(c->received->str, "Content-Length"));
    Fw_RigConn_Close(c);
    Fw_RawServer_Free(&raw);
    Fw_RouterEnv_Free(&env);
}
END_TEST

/* Guards against whole streams that are taken for broken. */
START_TEST(a_stream_without_a_type_is_whole_after_its_last_event)
{
    struct router_env env;
    struct raw_server raw;
    struct rig_conn *c;

    Fw_RouterEnv_InitAndStart(&env);
    Fw_RawServer_Init(&raw, &env);
    c = ask(&env, &raw, "200 OK", "", (enum raw_framing)_i, events);
    Fw_RigConn_Expect(c, "data: b");
    Fw_Rig_RunUntil(is_whole, c);
    Fw_RigConn_Close(c);
    Fw_RawServer_Free(&raw);
    Fw_RouterEnv_Free(&env);
}
END_TEST

static const struct {
    const char *status;
    const char *fields;
    const char *body;
} texts[] = {
    {"500 Internal Server Error", "", "out of memory"},
    {"404 Not Found", "", "no such model"},
    {"200 OK", "Content-Type: application/json\r\n", "{\"text\":\"a\"}"},
    {"200 OK", "Content-Type: text/plain\r\n", "no events here"},
};

/* Guards against other responses on such a route that are taken for events. */
START_TEST(a_text_on_a_streaming_route_is_whole)
{
    struct router_env env;
    struct raw_server raw;

    Fw_RouterEnv_InitAndStart(&env);
    Fw_RawServer_Init(&raw, &env);
    for (size_t i = 0; i < G_N_ELEMENTS(texts); i++) {
        struct rig_conn *c = ask(&env, &raw, texts[i].status, texts[i].fields,
                                 (enum raw_framing)_i, texts[i].body);

        Fw_RigConn_Expect(c, texts[i].body);
        Fw_Rig_RunUntil(is_whole, c);
        Fw_RigConn_Close(c);
    }
    Fw_RawServer_Free(&raw);
    Fw_RouterEnv_Free(&env);
}
END_TEST

int
main(void)
{
    TCase *tc = Fw_Suite_New("untyped streams");

    tcase_add_loop_test(tc, a_stream_without_a_type_is_broken_inside_an_event,
                        0, FW_RAW_FRAMINGS);
    tcase_add_loop_test(tc,
                        a_stream_without_a_type_is_whole_after_its_last_event,
                        0, FW_RAW_FRAMINGS);
    tcase_add_loop_test(tc, a_text_on_a_streaming_route_is_whole, 0,
                        FW_RAW_FRAMINGS);
    return Fw_Suite_Run(tc);
}
