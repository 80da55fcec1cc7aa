#include <errno.h>
#include <stdlib.h>
#include <string.h>

#include "io/engine_wire.h"
#include "io/json.h"

#define FW_TOKENS_MAX (1LL << 40)
#define FW_MS_MAX (1LL << 40)

/* Reads a required integer between 0 and @max. */
static int
read_count(JsonObject *obj, const char *name, int64_t max, int64_t *out)
{
    int rc = Fw_Json_Int(obj, name, out);

    return rc || *out < 0 || *out > max ? -EBADMSG : 0;
}

/* Like read_count, but a missing member reads as 0. */
static int
read_optional_count(JsonObject *obj, const char *name, int64_t max,
                    int64_t *out)
{
    int rc = Fw_Json_Int(obj, name, out);

    if (rc == -ENOENT) {
        *out = 0;
        return 0;
    }
    return rc || *out < 0 || *out > max ? -EBADMSG : 0;
}

static int
read_ms(JsonObject *obj, const char *name, int64_t *out_us)
{
    double ms;

    if (Fw_Json_Double(obj, name, &ms) || !(ms >= 0 && ms < FW_MS_MAX)) {
        return -EBADMSG;
    }
    *out_us = (int64_t)(ms * FW_MSEC);
    return 0;
}

static int
read_done_line(JsonObject *obj, struct fw_up_event *ev)
{
    ev->phase = FW_UP_DONE;
    ev->ran = FW_RAN_YES;
    if (Fw_Json_CopyStr(obj, "reason", ev->u.end.reason,
                        sizeof(ev->u.end.reason))) {
        return -EBADMSG;
    }
    return read_count(obj, "tokens", FW_TOKENS_MAX, &ev->u.end.tokens);
}

static int
read_token_line(JsonObject *obj, struct fw_up_event *ev)
{
    ev->phase = FW_UP_TOKEN;
    ev->ran = FW_RAN_YES;
    if (Fw_Json_Str(obj, "t", &ev->u.token.text)) {
        return -EBADMSG;
    }
    return read_count(obj, "i", FW_TOKENS_MAX, &ev->u.token.index);
}

int
Fw_Engine_DecodeStreamLine(const char *line, size_t len,
                           struct fw_up_event *ev, JsonNode **root)
{
    JsonObject *obj;
    int done = 0;
    int rc;

    *root = Fw_Json_Parse(line, len);
    if (!*root) {
        return -EBADMSG;
    }
    obj = json_node_get_object(*root);
    rc = Fw_Json_Bool(obj, "done", &done);
    if (!rc || rc == -ENOENT) {
        rc = done ? read_done_line(obj, ev) : read_token_line(obj, ev);
    }
    if (rc) {
        json_node_unref(*root);
        *root = NULL;
    }
    return rc;
}

static int
read_kv(JsonObject *obj, struct fw_up_kv *kv)
{
    if (Fw_Json_CopyStr(obj, "kv", kv->kv, sizeof(kv->kv)) ||
        read_count(obj, "tokens", FW_TOKENS_MAX, &kv->tokens) ||
        read_optional_count(obj, "cached", FW_TOKENS_MAX,
                            &kv->cached_tokens)) {
        return -EBADMSG;
    }
    return read_ms(obj, "lapse_ms", &kv->ttl_us);
}

static int
read_int(JsonObject *obj, const char *name, int *out)
{
    int64_t v;
    int rc = read_count(obj, name, INT32_MAX, &v);

    if (!rc) {
        *out = (int)v;
    }
    return rc;
}

static int
read_models(JsonObject *obj, struct fw_up_report *r)
{
    JsonArray *arr;
    int rc = Fw_Json_Array(obj, "models", &arr);

    if (rc) {
        return rc == -ENOENT ? 0 : rc;
    }
    for (guint i = 0; i < json_array_get_length(arr); i++) {
        JsonNode *node = json_array_get_element(arr, i);
        char *out = r->models[r->n_models];

        if (json_node_get_value_type(node) != G_TYPE_STRING ||
            g_strlcpy(out, json_node_get_string(node), FW_MODELREF_MAX) >=
                FW_MODELREF_MAX) {
            return -EBADMSG;
        }
        if (++r->n_models == FW_UP_MODELS_MAX) {
            break;
        }
    }
    return 0;
}

static int
read_report(JsonObject *obj, struct fw_up_report *r)
{
    int rc;

    if (read_ms(obj, "lag_ms", &r->age_us) ||
        read_int(obj, "slots", &r->slots) ||
        read_int(obj, "busy", &r->busy_slots) ||
        read_count(obj, "queued_tokens", FW_TOKENS_MAX, &r->queued_tokens) ||
        read_count(obj, "kv_used", INT64_MAX, &r->kv_used) ||
        read_count(obj, "kv_total", INT64_MAX, &r->kv_total)) {
        return -EBADMSG;
    }
    rc = Fw_Json_Bool(obj, "leaving", &r->draining);
    if (rc && rc != -ENOENT) {
        return rc;
    }
    rc = Fw_Json_CopyStr(obj, "role", r->role, sizeof(r->role));
    if (rc && rc != -ENOENT) {
        return rc;
    }
    return read_models(obj, r);
}

static int
read_held_requests(JsonObject *obj, struct fw_up_request_list *held,
                   struct fw_engine_response *resp)
{
    JsonArray *arr;
    guint n;

    if (Fw_Json_Array(obj, "requests", &arr)) {
        return -EBADMSG;
    }
    n = json_array_get_length(arr);
    resp->request_ids = g_new0(const char *, n + 1);
    resp->attached = g_new0(unsigned char, n + 1);
    for (guint i = 0; i < n; i++) {
        JsonObject *item = Fw_Json_ObjectAt(arr, i);
        int attached = 0;

        if (!item || Fw_Json_Str(item, "id", &resp->request_ids[i])) {
            return -EBADMSG;
        }
        if (Fw_Json_Bool(item, "attached", &attached) == -EBADMSG) {
            return -EBADMSG;
        }
        resp->attached[i] = attached != 0;
    }
    held->n = (int)n;
    held->requests = resp->request_ids;
    held->attached = resp->attached;
    return 0;
}

static int
read_prefix(JsonObject *obj, uint64_t *out)
{
    const char *s;

    if (Fw_Json_Str(obj, "prefix", &s) ||
        !g_ascii_string_to_unsigned(s, 16, 0, UINT64_MAX, out, NULL)) {
        return -EBADMSG;
    }
    return 0;
}

static int
read_cache_event(JsonObject *obj, struct fw_up_cache_event *e)
{
    int64_t seq;
    int rc;

    if (!obj || read_count(obj, "seq", INT64_MAX, &seq) ||
        read_prefix(obj, &e->prefix_hash) ||
        read_optional_count(obj, "tokens", FW_TOKENS_MAX, &e->tokens)) {
        return -EBADMSG;
    }
    e->seq = (uint64_t)seq;
    rc = Fw_Json_Bool(obj, "evicted", &e->evicted);
    return rc == -ENOENT ? 0 : rc;
}

static int
read_cache(JsonObject *obj, struct fw_up_cache_batch *batch,
           struct fw_engine_response *resp)
{
    JsonArray *arr;
    int64_t next;
    guint n;

    if (read_count(obj, "next", INT64_MAX, &next) ||
        Fw_Json_Array(obj, "events", &arr)) {
        return -EBADMSG;
    }
    n = json_array_get_length(arr);
    resp->cache_events = g_new0(struct fw_up_cache_event, n + 1);
    for (guint i = 0; i < n; i++) {
        if (read_cache_event(Fw_Json_ObjectAt(arr, i),
                             &resp->cache_events[i])) {
            return -EBADMSG;
        }
    }
    batch->n = (int)n;
    batch->next_seq = (uint64_t)next;
    batch->events = resp->cache_events;
    return 0;
}

int
Fw_Engine_DecodeResponse(GBytes *body, struct fw_up_event *ev,
                         struct fw_engine_response *resp)
{
    gsize len;
    const char *data = g_bytes_get_data(body, &len);
    JsonObject *obj;

    memset(resp, 0, sizeof(*resp));
    if (ev->kind == FW_UP_CANCEL || ev->kind == FW_UP_ORDER) {
        return 0;
    }
    resp->root = Fw_Json_Parse(data, len);
    if (!resp->root) {
        return -EBADMSG;
    }
    obj = json_node_get_object(resp->root);
    switch (ev->kind) {
    case FW_UP_PREFILL:
        return read_kv(obj, &ev->u.kv);
    case FW_UP_IMPORT:
        return read_ms(obj, "transfer_ms", &ev->u.transfer_us);
    case FW_UP_LOAD_REPORT:
        return read_report(obj, &ev->u.report);
    case FW_UP_LIST_REQUESTS:
        return read_held_requests(obj, &ev->u.held, resp);
    case FW_UP_CACHE_EVENTS:
        return read_cache(obj, &ev->u.cache, resp);
    case FW_UP_DECODE:
    case FW_UP_RESUME:
    case FW_UP_CANCEL:
    case FW_UP_ORDER:
    case FW_UP_SERVICE:
        break;
    }
    return -EBADMSG;
}

void
Fw_Engine_ClearResponse(struct fw_engine_response *resp)
{
    if (resp->root) {
        json_node_unref(resp->root);
    }
    g_free(resp->request_ids);
    g_free(resp->attached);
    g_free(resp->cache_events);
    memset(resp, 0, sizeof(*resp));
}
