/* Helpers for requests and responses, error responses and probes. */
#include <inttypes.h>
#include <string.h>

#include "io/http_priv.h"

#define FW_BEARER_KEY_MAX_BYTES 512

char *
Fw_HttpReq_Header(const struct fw_http_req *req, const char *name)
{
    const struct fw_http_field *f = Fw_Http_FindField(req->head, name);

    return f ? g_strndup(f->value, f->value_len) : NULL;
}

char *
Fw_HttpReq_Path(const struct fw_http_req *req)
{
    const struct fw_http_head *h = req->head;
    const char *query = memchr(h->target, '?', h->target_len);

    return g_strndup(h->target,
                     query ? (gsize)(query - h->target) : h->target_len);
}

int
Fw_HttpReq_IsMethod(const struct fw_http_req *req, const char *method)
{
    return req->head->method_len == strlen(method) &&
           memcmp(req->head->method, method, strlen(method)) == 0;
}

void
Fw_HttpReply_GetRequestId(const struct fw_http_head *head, char *id)
{
    const struct fw_http_field *f =
        head->raw ? Fw_Http_FindField(head, "X-Request-Id") : NULL;

    if (f && f->value_len < FW_ID_MAX) {
        memcpy(id, f->value, f->value_len);
        id[f->value_len] = '\0';
        if (Fw_Api_IsValidId(id)) {
            return;
        }
    }
    g_snprintf(id, FW_ID_MAX, "r-%08x%08x", g_random_int(), g_random_int());
}

char *
Fw_HttpReq_BearerKey(const struct fw_http_req *req)
{
    const struct fw_http_field *f =
        Fw_Http_FindField(req->head, "Authorization");
    size_t skip = strlen("Bearer ");

    if (!f || f->value_len <= skip ||
        g_ascii_strncasecmp(f->value, "Bearer ", skip) != 0) {
        return NULL;
    }
    while (skip < f->value_len && f->value[skip] == ' ') {
        skip++;
    }
    return f->value_len - skip <= FW_BEARER_KEY_MAX_BYTES
               ? g_strndup(f->value + skip, f->value_len - skip)
               : NULL;
}

void
Fw_HttpReply_Send(const struct fw_http_req *req, int status, const char *id,
                  const char *type, const char *fields, const char *text,
                  size_t len)
{
    char generated[FW_ID_MAX];
    char *all;

    if (!id[0]) {
        Fw_HttpReply_GetRequestId(req->head, generated);
        id = generated;
    }
    all = g_strdup_printf("Server: fuchsiaward\r\nX-Request-Id: %s\r\n"
                          "Content-Type: %s\r\n%s",
                          id, type, fields);
    Fw_Caller_Start(req->caller, status, all, (int64_t)len);
    Fw_Caller_Data(req->caller, text, len);
    Fw_Caller_End(req->caller);
    g_free(all);
}

void
Fw_HttpReply_SendFailure(const struct fw_http_req *req,
                         const struct fw_call_fail *fail, const char *extra)
{
    GString *body = g_string_new(NULL);
    GString *fields = g_string_new(NULL);

    Fw_Api_WriteError(fail->status, fail->code, fail->message, fail->ran,
                      body);
    g_string_printf(fields, "Fuchsiaward-Ran: %s\r\n", Fw_Ran_Name(fail->ran));
    if (fail->retry_after_us > 0) {
        g_string_append_printf(
            fields, "Retry-After: %" PRId64 "\r\n",
            (int64_t)((fail->retry_after_us + FW_SEC - 1) / FW_SEC));
    }
    g_string_append(fields, extra);
    Fw_HttpReply_Send(req, fail->status, fail->request_id, "application/json",
                      fields->str, body->str, body->len);
    g_string_free(fields, TRUE);
    g_string_free(body, TRUE);
}

void
Fw_HttpReply_SendError(const struct fw_http_req *req, int status,
                       const char *code, const char *message)
{
    struct fw_call_fail fail = {.status = status, .ran = FW_RAN_NO};

    g_strlcpy(fail.code, code, sizeof(fail.code));
    g_strlcpy(fail.message, message, sizeof(fail.message));
    req->http->rejected.value++;
    Fw_HttpReply_SendFailure(req, &fail, "");
}

void
Fw_HttpReply_FormatRejection(void *ctx, const struct fw_http_head *head,
                             int status, const char *reason, GString *fields,
                             GString *body)
{
    const char *code = status == 413   ? "body_too_large"
                       : status == 431 ? "header_too_large"
                       : status == 408 ? "read_timeout"
                                       : "malformed_request";
    char id[FW_ID_MAX];

    (void)ctx;
    Fw_HttpReply_GetRequestId(head, id);
    g_string_append_printf(fields,
                           "Content-Type: application/json\r\n"
                           "Fuchsiaward-Ran: no\r\nX-Request-Id: %s\r\n",
                           id);
    Fw_Api_WriteError(status, code, reason, FW_RAN_NO, body);
}

static void
reply_plain(const struct fw_http_req *req, int status, const char *text)
{
    Fw_HttpReply_Send(req, status, "", "text/plain; charset=utf-8", "", text,
                      strlen(text));
}

int
Fw_HttpReply_HandleProbe(const struct fw_http_req *req, const char *path)
{
    struct fw_http *http = req->http;

    if (strcmp(path, "/healthz") == 0) {
        reply_plain(req, 200, "ok\n");
        return 1;
    }
    if (strcmp(path, "/readyz") == 0) {
        int ready = http->opts.ready(http->opts.ready_ctx);

        reply_plain(req, ready ? 200 : 503, ready ? "ready\n" : "not ready\n");
        return 1;
    }
    if (strcmp(path, "/metrics") == 0) {
        GString *out = g_string_new(NULL);

        Fw_Metrics_Print(http->opts.metrics, out);
        reply_plain(req, 200, out->str);
        g_string_free(out, TRUE);
        return 1;
    }
    return 0;
}
