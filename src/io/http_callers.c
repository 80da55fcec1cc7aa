/* Callers' port: validates requests before passing them to the core. */
#include <errno.h>
#include <string.h>

#include "io/http_priv.h"

/* Copies header @name, if present, to @out; rejects an invalid id. */
static int
read_id_header(const struct fw_http_req *req, const char *name, char *out)
{
    char *id = Fw_HttpReq_Header(req, name);
    char *text;
    int invalid = id && !Fw_Api_IsValidId(id);

    if (id && !invalid) {
        g_strlcpy(out, id, FW_ID_MAX);
    }
    g_free(id);
    if (!invalid) {
        return 0;
    }
    text = g_strdup_printf(
        "%s must be 1 to 79 visible ASCII characters, no quotes", name);
    Fw_HttpReply_SendError(req, 400, "invalid_header", text);
    g_free(text);
    return -EBADMSG;
}

static int
read_deadline_header(const struct fw_http_req *req, struct fw_call *call)
{
    char *text = Fw_HttpReq_Header(req, "Fuchsiaward-Deadline");

    if (!text) {
        return 0;
    }
    call->deadline_us = Fw_Api_ParseDeadline(text, g_get_monotonic_time());
    g_free(text);
    if (call->deadline_us) {
        return 0;
    }
    Fw_HttpReply_SendError(
        req, 400, "invalid_header",
        "Fuchsiaward-Deadline must be an RFC 3339 time with "
        "its offset");
    return -EBADMSG;
}

static int
read_common_headers(const struct fw_http_req *req, struct fw_call *call)
{
    return read_id_header(req, "X-Request-Id", call->request_id) ||
                   read_id_header(req, "Idempotency-Key", call->idem_key) ||
                   read_deadline_header(req, call)
               ? -EBADMSG
               : 0;
}

/* Returns nonzero if the method is @want; otherwise replies with 405. */
static int
require_method(const struct fw_http_req *req, const char *want)
{
    struct fw_call_fail fail = {.status = 405,
                                .code = "method_not_allowed",
                                .message = "this path takes another method",
                                .ran = FW_RAN_NO};

    char allow[32];

    if (Fw_HttpReq_IsMethod(req, want)) {
        return 1;
    }
    req->http->rejected.value++;
    g_snprintf(allow, sizeof(allow), "Allow: %s\r\n", want);
    Fw_HttpReply_SendFailure(req, &fail, allow);
    return 0;
}

/* Passes the call to the core, with the caller's key. */
static void
submit_call(const struct fw_http_req *req, struct fw_http_call *c,
            struct fw_call *call)
{
    struct fw_event ev = {.kind = FW_EV_CALL_OPEN};
    char *key = Fw_HttpReq_BearerKey(req);

    call->call = c->handle;
    call->key = key;
    ev.u.open = *call;
    req->http->opts.sink.event(req->http->opts.sink.ctx, &ev);
    g_free(key);
}

static void
handle_completion(const struct fw_http_req *req, enum fw_api api)
{
    struct fw_call call = {.kind = FW_CALL_COMPLETION};
    struct fw_api_request parsed;
    struct fw_api_error err;
    struct fw_http_call *c;
    const char *data;
    gsize len;

    if (!require_method(req, "POST") || read_common_headers(req, &call)) {
        return;
    }
    data = g_bytes_get_data(req->body, &len);
    if (Fw_Api_Parse(api, data, len, &req->http->opts.api, &parsed, &err)) {
        Fw_HttpReply_SendError(req, err.status, err.code, err.message);
        return;
    }
    g_strlcpy(call.model, parsed.model, sizeof(call.model));
    g_strlcpy(call.method, "POST", sizeof(call.method));
    call.prompt = parsed.prompt;
    call.prompt_tokens = parsed.prompt_tokens;
    call.max_tokens = parsed.max_tokens;
    call.stream = parsed.stream;
    Fw_Caller_ReleaseBody(req->caller); /* the prompt is a copy */
    c = Fw_HttpCall_Open(req);
    c->stream = parsed.stream;
    c->response.api = api;
    c->response.include_usage = parsed.include_usage;
    submit_call(req, c, &call);
    g_bytes_unref(parsed.prompt);
}

static void
handle_models(const struct fw_http_req *req)
{
    struct fw_call call = {.kind = FW_CALL_MODELS};
    struct fw_http_call *c;

    if (!require_method(req, "GET") || read_common_headers(req, &call)) {
        return;
    }
    g_strlcpy(call.method, "GET", sizeof(call.method));
    c = Fw_HttpCall_Open(req);
    c->unary = 1;
    submit_call(req, c, &call);
}

/*
 * Splits "NAME/path?query": stores NAME in @call->service and returns the rest
 * as a new string. Returns NULL when NAME is empty or too long.
 */
static char *
split_service_path(const char *target, struct fw_call *call)
{
    size_t len = strcspn(target, "/?");

    if (len == 0 || len >= sizeof(call->service)) {
        return NULL;
    }
    memcpy(call->service, target, len);
    call->service[len] = '\0';
    return g_strconcat(target[len] == '/' ? "" : "/", target + len, NULL);
}

/* Return: 0, or -EBADMSG after the request was rejected. */
static int
read_service_headers(const struct fw_http_req *req, struct fw_call *call)
{
    char *type;
    int too_long;

    if (read_common_headers(req, call)) {
        return -EBADMSG;
    }
    type = Fw_HttpReq_Header(req, "Content-Type");
    too_long = req->head->method_len >= sizeof(call->method) ||
               (type && strlen(type) >= sizeof(call->content_type));
    if (!too_long) {
        memcpy(call->method, req->head->method, req->head->method_len);
        g_strlcpy(call->content_type, type ? type : "",
                  sizeof(call->content_type));
    }
    g_free(type);
    if (too_long) {
        Fw_HttpReply_SendError(req, 400, "invalid_header",
                               "the method or Content-Type is too long");
        return -EBADMSG;
    }
    return 0;
}

static void
handle_service(const struct fw_http_req *req, const char *target)
{
    struct fw_call call = {.kind = FW_CALL_SERVICE};
    struct fw_http_call *c;
    char *path;

    if (read_service_headers(req, &call)) {
        return;
    }
    path = split_service_path(target, &call);
    if (!path) {
        Fw_HttpReply_SendError(req, 404, "unknown_service",
                               "no service has this name");
        return;
    }
    call.path = path;
    call.body = req->body;
    c = Fw_HttpCall_Open(req);
    c->unary = 1;
    submit_call(req, c, &call);
    g_free(path);
}

void
Fw_HttpCallers_Handle(const struct fw_http_req *req)
{
    static const char services[] = "/v1/services/";
    char *path = Fw_HttpReq_Path(req);

    if (strcmp(path, "/v1/completions") == 0) {
        handle_completion(req, FW_API_COMPLETION);
    }
    else if (strcmp(path, "/v1/chat/completions") == 0) {
        handle_completion(req, FW_API_CHAT);
    }
    else if (strcmp(path, "/v1/models") == 0) {
        handle_models(req);
    }
    else if (g_str_has_prefix(path, services)) {
        char *target = g_strndup(req->head->target, req->head->target_len);

        handle_service(req, target + strlen(services));
        g_free(target);
    }
    else if (!Fw_HttpReply_HandleProbe(req, path)) {
        Fw_HttpReply_SendError(req, 404, "not_found", "no such path");
    }
    g_free(path);
}
