#include "tests/relayd/raw_server.h"

#include <string.h>

#include "http/conn.h"
#include "relay/relay.h"
#include "relayd/relayd_internal.h"

static const char entry_format[] =
    "{\"Service\":\"%s\",\"Address\":\"%s\",\"Zone\":\"a\",\"Version\":"
    "\"v1\",\"Slots\":4,\"State\":\"ready\",\"Sequence\":1,\"born\":1%s}";

static int
are_replaced(void *ctx)
{
    static const char *const replaced[] = {"s1", "s2", "p1", "d1", "d2"};
    struct router_env *env = ctx;
    const struct fw_relay *r = env->router->relay;
    int64_t now = Fw_Conn_NowUs();
    int n = 0;

    for (size_t i = 0; i < G_N_ELEMENTS(replaced); i++) {
        n += Fw_Relay_IsServerUsable(r, replaced[i], now);
    }
    return !n && Fw_Relay_IsServerUsable(r, "raw", now) &&
           Fw_Relay_IsServerUsable(r, "raw-engine", now);
}

static void
put_entry(struct router_env *env, const char *id, const char *service,
          const char *addr, const char *rest)
{
    char *entry = g_strdup_printf(entry_format, service, addr, rest);

    Fw_WireStore_Put(env->store, "keyed.servers", id, entry);
    g_free(entry);
}

void
Fw_RawServer_Init(struct raw_server *s, struct router_env *env)
{
    const char *addr;

    *s = (struct raw_server){.rig = Fw_RigServer_New()};
    addr = g_str_has_prefix(s->rig->url, "http://") ? s->rig->url + 7
                                                    : s->rig->url;
    Fw_WireServer_SetDraining(env->s1);
    Fw_WireServer_SetDraining(env->s2);
    Fw_WireServer_SetDraining(env->p1);
    Fw_WireServer_SetDraining(env->d1);
    Fw_WireServer_SetDraining(env->d2);
    put_entry(env, "raw", "desk", addr, "");
    put_entry(env, "raw-engine", "llm", addr, ",\"Stage\":\"decode\"");
    Fw_Rig_RunUntil(are_replaced, env);
}

void
Fw_RawServer_Free(struct raw_server *s)
{
    Fw_RigServer_Free(s->rig);
}

/* @id: header line with the id of the request, empty if it has none */
static void
answer(struct rig_conn *from, const char *id, const char *status,
       const char *fields, enum raw_framing framing, const char *body)
{
    GString *text = g_string_new(NULL);
    size_t len = strlen(body);

    g_string_printf(text, "HTTP/1.1 %s\r\n%sConnection: close\r\n%s", status,
                    id, fields);
    switch (framing) {
    case FW_RAW_CHUNKS:
        g_string_append(text, "Transfer-Encoding: chunked\r\n\r\n");
        if (len) {
            g_string_append_printf(text, "%zx\r\n%s\r\n", len, body);
        }
        g_string_append(text, "0\r\n\r\n");
        break;
    case FW_RAW_LENGTH:
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

struct rig_conn *
Fw_RawServer_NextRequest(struct raw_server *s)
{
    for (;;) {
        struct rig_conn *from = Fw_RigServer_Conn(s->rig, s->n_seen++);

        Fw_RigConn_Expect(from, "\r\n\r\n");
        if (strstr(from->received->str, "Request-Id: r1\r\n")) {
            return from;
        }
        answer(from, "", "200 OK", "", FW_RAW_LENGTH, "");
    }
}

void
Fw_RawServer_Answer(struct rig_conn *from, const char *status,
                    const char *fields, enum raw_framing framing,
                    const char *body)
{
    answer(from, "Request-Id: r1\r\n", status, fields, framing, body);
}
