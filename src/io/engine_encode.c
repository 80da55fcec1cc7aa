#include <string.h>

#include "base/fault.h"
#include "io/engine_wire.h"
#include "io/fetch.h"
#include "io/json.h"

static JsonBuilder *
begin_body(const char *request)
{
    JsonBuilder *b = json_builder_new();

    json_builder_begin_object(b);
    if (request) {
        Fw_Json_SetStr(b, "request", request);
    }
    return b;
}

static char *
end_body(JsonBuilder *b)
{
    json_builder_end_object(b);
    return Fw_Json_FinishBuilder(b);
}

static SoupMessage *
post(const struct fw_up_start *up, const char *path, JsonBuilder *b,
     const char *request, SoupMessageFlags flags)
{
    char *url = g_strconcat(up->url, path, NULL);
    char *json = end_body(b);
    SoupMessage *msg = Fw_Fetch_NewMessage("POST", url, json);

    if (msg) {
        soup_message_add_flags(msg, flags);
        if (request) {
            soup_message_headers_replace(soup_message_get_request_headers(msg),
                                         "X-Request-Id", request);
        }
    }
    g_free(json);
    g_free(url);
    return msg;
}

/*
 * The engine deduplicates by request id, so libsoup may use a persistent
 * connection and resend.
 */
static SoupMessage *
post_idempotent(const struct fw_up_start *up, const char *path, JsonBuilder *b,
                const char *request)
{
    return post(up, path, b, request, SOUP_MESSAGE_IDEMPOTENT);
}

static SoupMessage *
encode_prefill(const struct fw_up_start *up)
{
    const struct fw_up_prefill *p = &up->u.prefill;
    JsonBuilder *b = begin_body(p->request);
    gsize len;
    const char *data = g_bytes_get_data(p->prompt, &len);
    char *prompt = g_strndup(data ? data : "", len);
    SoupMessage *msg;

    Fw_Json_SetStr(b, "model", p->model);
    Fw_Json_SetStr(b, "adapter", p->adapter);
    Fw_Json_SetStr(b, "prompt", prompt);
    Fw_Json_SetInt(b, "priority", p->priority);
    g_free(prompt);
    msg = post_idempotent(up, "/v1/prefill", b, p->request);
    if (msg) {
        soup_message_headers_replace(soup_message_get_request_headers(msg),
                                     "X-Fuchsiaward-Team", p->team);
    }
    return msg;
}

static SoupMessage *
encode_import(const struct fw_up_start *up)
{
    const struct fw_up_import *p = &up->u.import;
    JsonBuilder *b = begin_body(p->request);

    Fw_Json_SetStr(b, "kv", p->kv);
    Fw_Json_SetStr(b, "from", p->from_url);
    Fw_Json_SetInt(b, "tokens", p->tokens);
    return post_idempotent(up, "/v1/kv/import", b, p->request);
}

static SoupMessage *
encode_decode(const struct fw_up_start *up)
{
    const struct fw_up_decode *p = &up->u.decode;
    JsonBuilder *b = begin_body(p->request);

    if (up->kind == FW_UP_DECODE) {
        Fw_Json_SetStr(b, "kv", p->kv);
        Fw_Json_SetInt(b, "max_tokens", p->max_tokens);
    }
    Fw_Json_SetInt(b, "from_index", p->from_index);
    return post_idempotent(
        up, up->kind == FW_UP_DECODE ? "/v1/decode" : "/v1/resume", b,
        p->request);
}

static SoupMessage *
encode_order(const struct fw_up_start *up)
{
    static const char *const ops[] = {"load_model", "unload_model",
                                      "load_adapter", "unload_adapter",
                                      "set_role"};
    const struct fw_up_order *p = &up->u.order;
    JsonBuilder *b = begin_body(NULL);

    Fw_Json_SetInt(b, "fence", (int64_t)p->fence);
    Fw_Json_SetStr(b, "op", ops[p->op]);
    Fw_Json_SetStr(b, "model", p->model);
    Fw_Json_SetStr(b, "version", p->version);
    Fw_Json_SetStr(b, "adapter", p->adapter);
    Fw_Json_SetStr(b, "role", p->role);
    Fw_Json_SetInt(b, "ttl_ms", p->ttl_us / FW_MSEC);
    /* No automatic resend: it could arrive after a newer order. */
    return post(up, "/v1/order", b, NULL, SOUP_MESSAGE_NEW_CONNECTION);
}

static SoupMessage *
encode_without_body(const struct fw_up_start *up, const char *method,
                    const char *path)
{
    char *url = g_strconcat(up->url, path, NULL);
    SoupMessage *msg = Fw_Fetch_NewMessage(method, url, NULL);

    g_free(url);
    return msg;
}

static SoupMessage *
encode_cancel(const struct fw_up_start *up)
{
    char *id = g_uri_escape_string(up->u.cancel.request, NULL, FALSE);
    char *path = g_strconcat("/v1/requests/", id, NULL);
    SoupMessage *msg = encode_without_body(up, "DELETE", path);

    g_free(path);
    g_free(id);
    return msg;
}

static SoupMessage *
encode_cache(const struct fw_up_start *up)
{
    char path[64];

    g_snprintf(path, sizeof(path), "/v1/cache-events?from=%" G_GUINT64_FORMAT,
               up->u.cache.from_seq);
    return encode_without_body(up, "GET", path);
}

/*
 * Only the headers set here reach the service; the caller's other headers,
 * such as Authorization, are not forwarded.
 */
static SoupMessage *
encode_service(const struct fw_up_start *up)
{
    const struct fw_up_service *p = &up->u.service;
    SoupMessage *msg = encode_without_body(up, p->method, p->path);
    SoupMessageHeaders *h;

    if (!msg) {
        return NULL;
    }
    h = soup_message_get_request_headers(msg);
    soup_message_headers_replace(h, "X-Fuchsiaward-Team", p->team);
    soup_message_headers_replace(h, "X-Request-Id", p->request);
    if (p->idem_key[0]) {
        soup_message_headers_replace(h, "Idempotency-Key", p->idem_key);
    }
    if (p->body) {
        Fw_Fetch_SetBody(msg, p->content_type[0] ? p->content_type : NULL,
                         p->body);
    }
    /*
     * libsoup resends an idempotent method when a persistent connection
     * closes without a response, but never on a new connection. Here the
     * configuration, not the method, decides whether a resend is allowed.
     */
    soup_message_add_flags(msg, p->at_most_once && !FW_FAULT("once-ignored")
                                    ? SOUP_MESSAGE_NEW_CONNECTION
                                    : SOUP_MESSAGE_IDEMPOTENT);
    return msg;
}

SoupMessage *
Fw_Engine_EncodeRequest(const struct fw_up_start *up)
{
    switch (up->kind) {
    case FW_UP_PREFILL:
        return encode_prefill(up);
    case FW_UP_IMPORT:
        return encode_import(up);
    case FW_UP_DECODE:
    case FW_UP_RESUME:
        return encode_decode(up);
    case FW_UP_CANCEL:
        return encode_cancel(up);
    case FW_UP_LOAD_REPORT:
        return encode_without_body(up, "GET", "/v1/load");
    case FW_UP_LIST_REQUESTS:
        return encode_without_body(up, "GET", "/v1/requests");
    case FW_UP_CACHE_EVENTS:
        return encode_cache(up);
    case FW_UP_ORDER:
        return encode_order(up);
    case FW_UP_SERVICE:
        return encode_service(up);
    }
    return NULL;
}
