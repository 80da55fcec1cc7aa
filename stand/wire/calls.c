/* An engine's own calls: reservations, KV caches, orders, reports. */
#include <inttypes.h>
#include <string.h>

#include "io/json.h"
#include "stand/wire/internal.h"

static void
answer_json(struct fw_http_caller *c, int status, char *text)
{
    Fw_Caller_Answer(c, status, "Content-Type: application/json\r\n", text);
    g_free(text);
}

static void
on_hold(struct fw_wire_server *s, struct fw_http_caller *c, GBytes *body)
{
    gsize len;
    const char *data = g_bytes_get_data(body, &len);
    JsonNode *root = Fw_Json_Parse(data, len);
    int64_t tokens = 0;
    int64_t ttl = 0;
    char *name;

    if (root) {
        JsonObject *obj = json_node_get_object(root);

        Fw_Json_Int(obj, "Tokens", &tokens);
        Fw_Json_Int(obj, "TtlMs", &ttl);
        json_node_unref(root);
    }
    if (tokens <= 0 || Fw_WireServer_Held(s) + tokens > s->opts.kv_tokens) {
        Fw_Wire_NotRun(c, 503);
        return;
    }
    name = Fw_Wire_Keep(s, s->holds, tokens, (int)ttl);
    answer_json(c, 200, g_strdup_printf("{\"Hold\":\"%s\"}", name));
    g_free(name);
}

static int
take_order(struct fw_wire_server *s, JsonObject *obj)
{
    const char *holder;
    const char *stage;
    int64_t fence;
    int64_t expected = s->orders;

    if (Fw_Json_Str(obj, "Holder", &holder) ||
        Fw_Json_Int(obj, "FencingToken", &fence) ||
        Fw_Json_Str(obj, "Stage", &stage)) {
        return 400;
    }
    Fw_Json_Int(obj, "Expected", &expected);
    if (fence < s->fence) {
        return 412;
    }
    if (expected != s->orders) {
        return 409;
    }
    s->fence = fence;
    if (strcmp(stage, s->stage) == 0) {
        return 200;
    }
    s->orders++;
    g_strlcpy(s->stage, stage, sizeof(s->stage));
    Fw_Wire_Register(s);
    return 202;
}

static void
on_order(struct fw_wire_server *s, struct fw_http_caller *c, GBytes *body)
{
    gsize len;
    const char *data = g_bytes_get_data(body, &len);
    JsonNode *root = Fw_Json_Parse(data, len);
    int status = root ? take_order(s, json_node_get_object(root)) : 400;

    if (root) {
        json_node_unref(root);
    }
    answer_json(c, status, g_strdup("{}"));
}

static void
on_report(struct fw_wire_server *s, struct fw_http_caller *c)
{
    answer_json(
        c, 200,
        g_strdup_printf("{\"Stage\":\"%s\",\"Models\":[],\"Busy\":false,"
                        "\"Sequence\":%" PRId64
                        ",\"Queued\":0,\"Active\":%u,\"KvUsed\":%" PRId64
                        ",\"KvCapacity\":%" PRId64 ",\"KvHandles\":%u}",
                        s->stage, s->orders, g_list_length(s->runs), s->used,
                        s->opts.kv_tokens, g_hash_table_size(s->handles)));
}

static int
line_is(const struct fw_http_head *h, const char *method, const char *path)
{
    return Fw_Http_MethodIs(h, method) && h->target_len >= strlen(path) &&
           memcmp(h->target, path, strlen(path)) == 0;
}

static void
drop(const struct fw_http_head *h, const char *path, GHashTable *from,
     struct fw_http_caller *c)
{
    char *name =
        g_strndup(h->target + strlen(path), h->target_len - strlen(path));

    Fw_Caller_Answer(c, g_hash_table_remove(from, name) ? 200 : 404, "", "");
    g_free(name);
}

int
Fw_Wire_Call(struct fw_wire_server *s, struct fw_http_caller *c,
             const struct fw_http_head *h, GBytes *body)
{
    if (line_is(h, "POST", "/-/hold-take")) {
        on_hold(s, c, body);
    }
    else if (line_is(h, "DELETE", "/-/hold-drop/")) {
        drop(h, "/-/hold-drop/", s->holds, c);
    }
    else if (line_is(h, "DELETE", "/-/kv-handle/")) {
        drop(h, "/-/kv-handle/", s->handles, c);
    }
    else if (line_is(h, "GET", "/-/report")) {
        on_report(s, c);
    }
    else if (line_is(h, "POST", "/-/order")) {
        on_order(s, c, body);
    }
    else {
        return 0;
    }
    return 1;
}
