/* Helpers to build responses and read query parameters. */
#include <string.h>

#include "operate/operate_internal.h"

JsonNode *
Fw_Answer_ObjectNode(JsonObject *obj)
{
    JsonNode *node = json_node_new(JSON_NODE_OBJECT);

    json_node_take_object(node, obj);
    return node;
}

void
Fw_Answer_Json(uint64_t call, int status, enum fw_ran ran, JsonNode *node,
               struct fw_actions *out)
{
    struct fw_call_response *a =
        &Fw_Actions_Add(out, FW_ACT_CALL_RESPONSE)->u.answer;
    char *text = json_to_string(node, FALSE);

    a->call = call;
    a->status = status;
    a->ran = ran;
    g_strlcpy(a->content_type, "application/json", sizeof(a->content_type));
    a->body = g_bytes_new_take(text, strlen(text));
    json_node_unref(node);
}

void
Fw_Answer_Error(uint64_t call, int status, enum fw_ran ran, const char *code,
                const char *message, struct fw_actions *out)
{
    JsonObject *obj = json_object_new();
    JsonObject *error = json_object_new();

    json_object_set_string_member(error, "code", code);
    json_object_set_string_member(error, "message", message);
    json_object_set_string_member(error, "ran", Fw_Ran_Name(ran));
    json_object_set_object_member(obj, "error", error);
    Fw_Answer_Json(call, status, ran, Fw_Answer_ObjectNode(obj), out);
}

const char *
Fw_Operate_ParamText(const struct fw_operate_request *req, const char *name,
                     const char *dflt)
{
    const char *text = g_hash_table_lookup(req->query, name);

    return text ? text : dflt;
}

uint64_t
Fw_Operate_ParamNumber(const struct fw_operate_request *req, const char *name,
                       uint64_t dflt)
{
    const char *text = g_hash_table_lookup(req->query, name);
    guint64 n;

    if (!text ||
        !g_ascii_string_to_unsigned(text, 10, 0, G_MAXINT64, &n, NULL)) {
        return dflt;
    }
    return n;
}

void
Fw_Operate_FormatTime(const struct fw_operate *op, int64_t at_us, char *out)
{
    int64_t ms = (int64_t)op->boot_ms + (at_us - op->start_us) / FW_MSEC;
    GDateTime *t = g_date_time_new_from_unix_utc(ms / 1000);
    char *text = t ? g_date_time_format(t, "%Y-%m-%dT%H:%M:%SZ") : NULL;

    g_strlcpy(out, text ? text : "unknown", FW_CHANGE_AT_MAX);
    g_free(text);
    if (t) {
        g_date_time_unref(t);
    }
}
