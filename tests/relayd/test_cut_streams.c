/*
 * Event streams cut at each byte, in each framing of a response, by a server
 * that closes its connection properly.
 */
#include <string.h>

#include "tests/relayd/raw_server.h"

/* Comments and all three kinds of line ends. */
static const char stream[] =
    "id: 1\ndata: a\n\n: note\nid: 2\r\ndata: b\r\n\r\n"
    "data: c\r\r: end\n\n";

/* The stream with line feeds as the only line ends. */
static char *
normalize(const char *text)
{
    char **by_crlf = g_strsplit(text, "\r\n", -1);
    char *joined = g_strjoinv("\n", by_crlf);

    g_strfreev(by_crlf);
    g_strdelimit(joined, "\r", '\n');
    return joined;
}

/* Whether all that follows the last event in @text is comments. */
static int
ends_outside_events(const char *text)
{
    char *normal = normalize(text);
    char **lines = g_strsplit(normal, "\n", -1);
    int inside = 0;

    for (char **l = lines; *l; l++) {
        int is_last = !l[1];

        if (!**l && !is_last) {
            inside = 0;
        }
        else if (**l && **l != ':') {
            inside = 1;
        }
    }
    g_strfreev(lines);
    g_free(normal);
    return !inside;
}

/* Whether a line without its end is a comment. */
static int
ends_in_comment(const char *text)
{
    char *normal = normalize(text);
    const char *last = strrchr(normal, '\n');
    int inside = (last ? last[1] : normal[0]) == ':';

    g_free(normal);
    return inside;
}

/* A closed connection ends no comment and no stream without events. */
static int
is_whole(const char *text, enum raw_framing framing)
{
    return ends_outside_events(text) &&
           (framing != FW_RAW_CLOSE || (text[0] && !ends_in_comment(text)));
}

START_TEST(a_stream_is_complete_only_after_a_whole_event)
{
    struct router_env env;
    struct raw_server raw;

    Fw_RouterEnv_InitAndStart(&env);
    Fw_RawServer_Init(&raw, &env);
    for (size_t n = 0; n <= strlen(stream); n++) {
        char *body = g_strndup(stream, n);
        struct rig_conn *c =
            Fw_RouterEnv_SendRequest(&env, "POST /order/x", "");

        Fw_RawServer_Answer(Fw_RawServer_NextRequest(&raw), "200 OK",
                            "Content-Type: text/event-stream\r\n",
                            (enum raw_framing)_i, body);
        Fw_RigConn_Expect(c, "\r\n\r\n");
        ck_assert_msg(g_str_has_prefix(c->received->str,
                                       is_whole(body, (enum raw_framing)_i)
                                           ? "HTTP/1.1 200 "
                                           : "HTTP/1.1 502 "),
                      "%zu bytes: %s", n, c->received->str);
        Fw_RigConn_Close(c);
        g_free(body);
    }
    Fw_RawServer_Free(&raw);
    Fw_RouterEnv_Free(&env);
}
END_TEST

int
main(void)
{
    TCase *tc = Fw_Suite_New("cut streams");

    tcase_add_loop_test(tc, a_stream_is_complete_only_after_a_whole_event, 0,
                        FW_RAW_FRAMINGS);
    return Fw_Suite_Run(tc);
}
