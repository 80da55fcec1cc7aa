/* Responses to callers. */
#include <inttypes.h>
#include <string.h>

#include "base/fault.h"
#include "http/http_internal.h"

const char *
Fw_Http_ReasonPhrase(int status)
{
    static const struct {
        int status;
        const char *text;
    } reasons[] = {
        {200, "OK"},
        {202, "Accepted"},
        {204, "No Content"},
        {304, "Not Modified"},
        {400, "Bad Request"},
        {401, "Unauthorized"},
        {403, "Forbidden"},
        {404, "Not Found"},
        {408, "Request Timeout"},
        {409, "Conflict"},
        {413, "Content Too Large"},
        {421, "Misdirected Request"},
        {429, "Too Many Requests"},
        {431, "Request Header Fields Too Large"},
        {500, "Internal Server Error"},
        {502, "Bad Gateway"},
        {503, "Service Unavailable"},
        {504, "Gateway Timeout"},
    };

    for (size_t i = 0; i < G_N_ELEMENTS(reasons); i++) {
        if (reasons[i].status == status) {
            return reasons[i].text;
        }
    }
    return "Status";
}

void
Fw_Caller_Start(struct fw_http_caller *c, int status, const char *fields,
                int64_t length)
{
    GString *out = g_string_sized_new(256);

    c->close_after |= c->server->draining || c->server->close_after_response;
    c->omit_body =
        Fw_Http_MethodIs(&c->head, "HEAD") || status == 204 || status == 304;
    c->chunked = length < 0 && !c->omit_body && c->head.minor >= 1 &&
                 !c->server->unframed;
    if (length < 0 && !c->omit_body && !c->chunked) {
        c->close_after = 1;
        if (!FW_FAULT("ended-process-not-reset")) {
            Fw_Conn_ResetUnlessShutdown(c->conn);
        }
    }
    g_string_append_printf(out, "HTTP/1.1 %d %s\r\n%s", status,
                           Fw_Http_ReasonPhrase(status), fields);
    if (c->chunked) {
        g_string_append(out, "Transfer-Encoding: chunked\r\n");
    }
    else if (length >= 0 && status != 204 && status != 304) {
        g_string_append_printf(out, "Content-Length: %" PRId64 "\r\n", length);
    }
    if (c->close_after) {
        g_string_append(out, "Connection: close\r\n");
    }
    g_string_append(out, "\r\n");
    Fw_Conn_Write(c->conn, out->str, out->len);
    g_string_free(out, TRUE);
}

void
Fw_Caller_Data(struct fw_http_caller *c, const void *data, size_t len)
{
    GString *out;

    if (!len || c->omit_body) {
        return;
    }
    if (!c->chunked) {
        Fw_Conn_Write(c->conn, data, len);
        return;
    }
    out = g_string_sized_new(len + 32);
    g_string_append_printf(out, "%zx\r\n", len);
    g_string_append_len(out, data, (gssize)len);
    g_string_append(out, "\r\n");
    Fw_Conn_Write(c->conn, out->str, out->len);
    g_string_free(out, TRUE);
}

void
Fw_Caller_End(struct fw_http_caller *c)
{
    if (c->chunked) {
        Fw_Conn_Write(c->conn, "0\r\n\r\n", 5);
    }
    c->chunked = 0;
    Fw_Caller_FinishResponse(c);
}

void
Fw_Caller_Abort(struct fw_http_caller *c)
{
    Fw_Caller_Free(c, 1);
}

void
Fw_Caller_Respond(struct fw_http_caller *c, int status, const char *fields,
                  const char *body)
{
    Fw_Caller_Start(c, status, fields, (int64_t)strlen(body));
    Fw_Caller_Data(c, body, strlen(body));
    Fw_Caller_End(c);
}

size_t
Fw_Caller_Unsent(const struct fw_http_caller *c)
{
    return Fw_Conn_Unsent(c->conn);
}

struct fw_held_account *
Fw_Caller_Account(const struct fw_http_caller *c)
{
    return Fw_Conn_Account(c->conn);
}
