/*
 * Event streams cut at each byte, in each framing of a response, by a server
 * that closes its connection properly.
 */
#include <string.h>

#include "http/conn.h"
#include "relay/relay.h"
#include "relayd/relayd_internal.h"
#include "tests/relayd/router_env.h"

/* Comments and all three kinds of line ends. */
static const char stream[] =
    "id: 1\ndata: a\n\n: note\nid: 2\r\ndata: b\r\n\r\n"
    "data: c\r\r: end\n\n";

/** enum framing - how a server marks the end of a response. */
enum framing {
    FW_CHUNKS,
    FW_LENGTH,
    FW_CLOSE,
    FW_FRAMINGS,
};

static const char server_entry[] =
    "{\"Service\":\"desk\",\"Address\":\"%s\",\"Zone\":\"a\",\"Version\":"
    "\"v1\","
    "\"Slots\":4,\"State\":\"ready\",\"Sequence\":1,\"born\":1}";

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

static void
answer(struct rig_conn *from, enum framing framing, const char *body)
{
    GString *text = g_string_new("HTTP/1.1 200 OK\r\nRequest-Id: r1\r\n"
                                 "Connection: close\r\n"
                                 "Content-Type: text/event-stream\r\n");
    size_t len = strlen(body);

    switch (framing) {
    case FW_CHUNKS:
        g_string_append(text, "Transfer-Encoding: chunked\r\n\r\n");
        if (len) {
            g_string_append_printf(text, "%zx\r\n%s\r\n", len, body);
        }
        g_string_append(text, "0\r\n\r\n");
        break;
    case FW_LENGTH:
        g_string_append_printf(text, "Content-Length: %zu\r\n\r\n%s", len,
                               body);
        break;
    default:
        g_string_append_printf(text, "\r\n%s", body);
        break;
    }
    Fw_RigConn_Send(from, text->str, (gssize)text->len);
    g_socket_shutdown(from->sock, FALSE, TRUE, NULL);
    g_string_free(text, TRUE);
}

/* The next connection with a request of a caller; probes are answered. */
static struct rig_conn *
next_request(struct rig_server *raw, guint *n_seen)
{
    for (;;) {
        struct rig_conn *from = Fw_RigServer_Conn(raw, (*n_seen)++);

        Fw_RigConn_Expect(from, "\r\n\r\n");
        if (g_str_has_prefix(from->received->str, "POST")) {
            return from;
        }
        answer(from, FW_LENGTH, "");
    }
}

static int
are_replaced(void *ctx)
{
    struct router_env *env = ctx;
    const struct fw_relay *r = env->router->relay;
    int64_t now = Fw_Conn_NowUs();

    return Fw_Relay_IsServerUsable(r, "raw", now) &&
           !Fw_Relay_IsServerUsable(r, "s1", now) &&
           !Fw_Relay_IsServerUsable(r, "s2", now);
}

/* Registers a raw server as the only one of the service "desk". */
static struct rig_server *
replace_servers(struct router_env *env)
{
    struct rig_server *raw = Fw_RigServer_New();
    const char *addr = strstr(raw->url, "//") ? raw->url + 7 : raw->url;
    char *entry = g_strdup_printf(server_entry, addr);

    Fw_WireServer_SetDraining(env->s1);
    Fw_WireServer_SetDraining(env->s2);
    Fw_WireStore_Put(env->store, "keyed.servers", "raw", entry);
    Fw_Rig_RunUntil(are_replaced, env);
    g_free(entry);
    return raw;
}

START_TEST(a_stream_is_complete_only_after_a_whole_event)
{
    struct router_env env;
    struct rig_server *raw;
    guint n_seen = 0;

    Fw_RouterEnv_InitAndStart(&env);
    raw = replace_servers(&env);
    for (size_t n = 0; n <= strlen(stream); n++) {
        char *body = g_strndup(stream, n);
        struct rig_conn *c =
            Fw_RouterEnv_SendRequest(&env, "POST /order/x", "");

        answer(next_request(raw, &n_seen), (enum framing)_i, body);
        Fw_RigConn_Expect(c, "\r\n\r\n");
        ck_assert_msg(
            g_str_has_prefix(c->received->str, ends_outside_events(body)
                                                   ? "HTTP/1.1 200 "
                                                   : "HTTP/1.1 502 "),
            "%zu bytes: %s", n, c->received->str);
        Fw_RigConn_Close(c);
        g_free(body);
    }
    Fw_RigServer_Free(raw);
    Fw_RouterEnv_Free(&env);
}
END_TEST

int
main(void)
{
    TCase *tc = Fw_Suite_New("cut streams");

    tcase_add_loop_test(tc, a_stream_is_complete_only_after_a_whole_event, 0,
                        FW_FRAMINGS);
    return Fw_Suite_Run(tc);
}
