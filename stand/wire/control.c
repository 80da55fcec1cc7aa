/* Control requests of an engine: reservations, KV caches, orders, reports. */
#include <inttypes.h>
#include <string.h>

#include "io/json.h"
#include "stand/wire/internal.h"

static void
answer_json(const struct fw_wire_server *s, struct fw_http_caller *c,
            int status, char *text)
{
    GString *fields = g_string_new("Content-Type: application/json\r\n");

    Fw_Wire_AppendOwnFields(s, fields);
    Fw_Caller_Respond(c, status, fields->str, text);
    g_string_free(fields, TRUE);
    g_free(text);
}

static void
handle_reserve(struct fw_wire_server *s, struct fw_http_caller *c,
               const struct fw_http_head *h, GBytes *body)
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
    if (tokens <= 0 ||
        Fw_WireServer_UsedKvTokens(s) + tokens > s->opts.kv_tokens) {
        Fw_Wire_RejectNotExecuted(s, c, h, 503);
        return;
    }
    name = Fw_Wire_AddLease(s, s->reservations, tokens, (int)ttl);
    answer_json(s, c, 200, g_strdup_printf("{\"Hold\":\"%s\"}", name));
    g_free(name);
}

static int
apply_order(struct fw_wire_server *s, JsonObject *obj)
{
    const char *holder;
    const char *stage;
    int64_t fence;
    int64_t expected = s->order_sequence;

    if (Fw_Json_Str(obj, "Holder", &holder) ||
        Fw_Json_Int(obj, "FencingToken", &fence) ||
        Fw_Json_Str(obj, "Stage", &stage)) {
        return 400;
    }
    Fw_Json_Int(obj, "Expected", &expected);
    if (fence < s->highest_fence) {
        return 412;
    }
    if (expected != s->order_sequence) {
        return 409;
    }
    s->highest_fence = fence;
    if (strcmp(stage, s->stage) == 0) {
        return 200;
    }
    s->order_sequence++;
    g_strlcpy(s->stage, stage, sizeof(s->stage));
    Fw_Wire_Register(s);
    return 202;
}

static void
handle_order(struct fw_wire_server *s, struct fw_http_caller *c, GBytes *body)
{
    gsize len;
    const char *data = g_bytes_get_data(body, &len);
    JsonNode *root = Fw_Json_Parse(data, len);
    int status = root ? apply_order(s, json_node_get_object(root)) : 400;

    if (root) {
        json_node_unref(root);
    }
    answer_json(s, c, status, g_strdup("{}"));
}

static void
handle_report(struct fw_wire_server *s, struct fw_http_caller *c)
{
    answer_json(
        s, c, 200,
        g_strdup_printf("{\"Stage\":\"%s\",\"Models\":[],\"Busy\":false,"
                        "\"Sequence\":%" PRId64
                        ",\"Queued\":0,\"Active\":%u,\"KvUsed\":%" PRId64
                        ",\"KvCapacity\":%" PRId64 ",\"KvHandles\":%u}",
                        s->stage, s->order_sequence, g_list_length(s->runs),
                        s->active_tokens, s->opts.kv_tokens,
                        g_hash_table_size(s->kv_handles)));
}

static int
is_request(const struct fw_http_head *h, const char *method, const char *path)
{
    return Fw_Http_MethodIs(h, method) && h->target_len >= strlen(path) &&
           memcmp(h->target, path, strlen(path)) == 0;
}

static void
handle_delete(const struct fw_wire_server *s, const struct fw_http_head *h,
              const char *path, GHashTable *from, struct fw_http_caller *c)
{
    GString *fields = g_string_new(NULL);
    char *name =
        g_strndup(h->target + strlen(path), h->target_len - strlen(path));

    Fw_Wire_AppendOwnFields(s, fields);
    Fw_Caller_Respond(c, g_hash_table_remove(from, name) ? 200 : 404,
                      fields->str, "");
    g_string_free(fields, TRUE);
    g_free(name);
}

static void
handle_health(const struct fw_wire_server *s, struct fw_http_caller *c)
{
    GString *fields = g_string_new(NULL);

    g_string_printf(fields, "Instance-Id: %s\r\n", s->id);
    Fw_Wire_AppendOwnFields(s, fields);
    Fw_Caller_Respond(c, s->draining ? 503 : 200, fields->str, "");
    g_string_free(fields, TRUE);
}

int
Fw_Wire_HandleControl(struct fw_wire_server *s, struct fw_http_caller *c,
                      const struct fw_http_head *h, GBytes *body)
{
    if (is_request(h, "POST", "/-/hold-take")) {
        handle_reserve(s, c, h, body);
    }
    else if (is_request(h, "DELETE", "/-/hold-drop/")) {
        handle_delete(s, h, "/-/hold-drop/", s->reservations, c);
    }
    else if (is_request(h, "DELETE", "/-/kv-handle/")) {
        handle_delete(s, h, "/-/kv-handle/", s->kv_handles, c);
    }
    else if (is_request(h, "GET", "/-/report")) {
        handle_report(s, c);
    }
    else if (is_request(h, "GET", FW_HEALTH_PATH)) {
        handle_health(s, c);
    }
    else if (is_request(h, "POST", "/-/order")) {
        handle_order(s, c, body);
    }
    else {
        return 0;
    }
    return 1;
}
