/* Receives requests on a caller's connection; response.c sends responses. */
#include <errno.h>
#include <string.h>

#include "http/http_internal.h"

/* In the log, for a request whose caller has closed before it was read. */
#define FW_STATUS_CALLER_GONE 499
/* Pipelined data during a request beyond which the connection is reset. */
#define FW_PIPELINED_MAX_BYTES (128 * 1024)

static void
set_state(struct fw_http_caller *c, enum fw_caller_state state)
{
    if (c->state == FW_CALLER_IDLE) {
        c->request_start_us = Fw_Conn_NowUs();
    }
    c->state = state;
    c->timer_start_us = Fw_Conn_NowUs();
    Fw_Conn_SetPrepaid(c->conn,
                       state == FW_CALLER_BODY || state == FW_CALLER_LINGER);
}

static void
charge_head(struct fw_http_caller *c, size_t bytes)
{
    Fw_HeldAccount_Set(Fw_Conn_Account(c->conn), FW_HELD_HEAD,
                       &c->charged_head, bytes);
}

static void
drop_request(struct fw_http_caller *c)
{
    Fw_Http_ClearHead(&c->head);
    charge_head(c, 0);
    Fw_Caller_ReleaseBody(c);
    if (c->is_served) {
        c->is_served = 0;
        Fw_Held_CountCaller(c->server->held, -1);
    }
    c->server->buffered_bytes -= c->body_buffer.len;
    Fw_BodyBuffer_Clear(&c->body_buffer);
}

void
Fw_Caller_Free(struct fw_http_caller *c, int reset)
{
    if (c->resume_source_id) {
        g_source_remove(c->resume_source_id);
    }
    drop_request(c);
    Fw_HeldAccount_Set(Fw_Conn_Account(c->conn), FW_HELD_CONNECTION,
                       &c->charged_self, 0);
    Fw_List_Remove(&c->link);
    Fw_Conn_Free(c->conn, reset);
    g_free(c);
}

void
Fw_Caller_Reject(struct fw_http_caller *c, int status, const char *why)
{
    struct fw_http_server *s = c->server;
    GString *fields = g_string_new(NULL);
    GString *body = g_string_new(NULL);

    s->ops->rejected(s->ctx, status, why);
    if (s->ops->format_rejection) {
        s->ops->format_rejection(s->ctx, &c->head, status, why, fields, body);
    }
    else {
        g_string_append(fields, "Content-Type: text/plain\r\n");
        g_string_append(body, why);
    }
    c->close_after = 1;
    Fw_Caller_Respond(c, status, fields->str, body->str);
    g_string_free(fields, TRUE);
    g_string_free(body, TRUE);
}

void
Fw_Caller_ReleaseBody(struct fw_http_caller *c)
{
    if (c->request_body) {
        c->server->buffered_bytes -= g_bytes_get_size(c->request_body);
        g_clear_pointer(&c->request_body, g_bytes_unref);
    }
}

/* Return: zero if there are no descriptors to serve the request. */
static int
count_served(struct fw_http_caller *c)
{
    struct fw_http_server *s = c->server;

    if (!s->held || !s->is_bounded) {
        return 1;
    }
    if (!Fw_HeldShare_MayServe(Fw_Held_Connections(s->held))) {
        return 0;
    }
    c->is_served = 1;
    Fw_Held_CountCaller(s->held, 1);
    return 1;
}

static void
reject_unheld(struct fw_http_caller *c, enum fw_held_admission why)
{
    Fw_Held_NoteRejected(c->server->held);
    if (why == FW_HELD_TOO_LARGE) {
        Fw_Caller_Reject(c, 413, "the body is too large");
    }
    else {
        Fw_Caller_Reject(c, 503, FW_HTTP_NO_MEMORY);
    }
}

/* Return: 1 to continue with the body; 0 otherwise, when c may be freed. */
static int
read_head(struct fw_http_caller *c)
{
    const struct fw_http_limits *l = &c->server->limits;
    const struct fw_http_field *expect;
    enum fw_held_admission admission;
    size_t len;
    const char *data = Fw_Conn_Received(c->conn, &len);
    int n = Fw_Http_ParseHead(FW_HTTP_REQUEST, data, MIN(len, l->header_bytes),
                              &c->head);

    if (n == 0 && len >= l->header_bytes) {
        Fw_Caller_Reject(c, 431, "the head is too large");
        return 0;
    }
    if (n < 0) {
        Fw_Caller_Reject(c, 400, "the head breaks the protocol");
        return 0;
    }
    if (n == 0) {
        if (len && c->state == FW_CALLER_IDLE) {
            set_state(c, FW_CALLER_HEAD);
        }
        return 0;
    }
    Fw_Conn_Consume(c->conn, (size_t)n);
    charge_head(c, (size_t)n);
    if (c->head.framing == FW_HTTP_CONTENT_LENGTH &&
        c->head.length > l->body_bytes) {
        Fw_Caller_Reject(c, 413, "the body is too large");
        return 0;
    }
    if (!count_served(c)) {
        reject_unheld(c, FW_HELD_NO_ROOM);
        return 0;
    }
    admission = Fw_BodyBuffer_Begin(
        &c->body_buffer, Fw_Conn_Account(c->conn),
        c->head.framing == FW_HTTP_CONTENT_LENGTH ? c->head.length : 0);
    if (admission != FW_HELD_ADMITTED) {
        reject_unheld(c, admission);
        return 0;
    }
    Fw_Http_BodyInit(&c->body_decoder, &c->head);
    set_state(c, FW_CALLER_BODY);
    expect = Fw_Http_FindField(&c->head, "expect");
    if (expect && Fw_Http_HasToken(expect, "100-continue")) {
        Fw_Conn_Write(c->conn, "HTTP/1.1 100 Continue\r\n\r\n", 25);
    }
    return 1;
}

static int
append_body(struct fw_http_caller *c, const char *part, size_t len)
{
    struct fw_http_server *s = c->server;
    enum fw_held_admission admission;

    if (c->body_buffer.len + len > s->limits.body_bytes) {
        Fw_Caller_Reject(c, 413, "the body is too large");
        return -EMSGSIZE;
    }
    if (s->buffered_bytes + len > s->limits.buffered_bytes) {
        Fw_Caller_Reject(c, 503, FW_HTTP_NO_MEMORY);
        return -ENOMEM;
    }
    admission = Fw_BodyBuffer_Append(&c->body_buffer, part, len);
    if (admission != FW_HELD_ADMITTED) {
        reject_unheld(c, admission);
        return -ENOMEM;
    }
    s->buffered_bytes += len;
    c->timer_start_us = Fw_Conn_NowUs();
    return 0;
}

/*
 * A caller that has closed its connection by now is gone: after a pause of the
 * process, requests are read long after that.
 */
static void
deliver_request(struct fw_http_caller *c)
{
    struct fw_http_server *s = c->server;

    if (Fw_Conn_IsAtEnd(c->conn)) {
        s->ops->rejected(s->ctx, FW_STATUS_CALLER_GONE,
                         "its caller has closed");
        Fw_Caller_Free(c, 0);
        return;
    }
    c->request_body = Fw_BodyBuffer_Take(&c->body_buffer);
    c->close_after = s->draining || !c->head.keep_alive;
    set_state(c, FW_CALLER_RESPONSE);
    s->ops->request(s->ctx, c, &c->head, c->request_body);
}

/* Return: 1 to continue reading; 0 otherwise, when c may be freed. */
static int
read_body(struct fw_http_caller *c)
{
    const char *part;
    size_t part_len;
    size_t len;
    const char *data = Fw_Conn_Received(c->conn, &len);
    int n = Fw_Http_BodyRead(&c->body_decoder, data, len, &part, &part_len);

    if (n < 0) {
        Fw_Caller_Reject(c, 400, "the body breaks its framing");
        return 0;
    }
    if (part_len && append_body(c, part, part_len)) {
        return 0;
    }
    Fw_Conn_Consume(c->conn, (size_t)n);
    if (c->body_decoder.done) {
        deliver_request(c);
        return 0;
    }
    return n > 0;
}

static void
notify_disconnect(struct fw_http_caller *c)
{
    if (c->server->ops->disconnected) {
        c->server->ops->disconnected(c->server->ctx, c);
    }
}

static void
on_data(void *ctx)
{
    struct fw_http_caller *c = ctx;
    size_t len;

    Fw_Conn_Received(c->conn, &len);
    switch (c->state) {
    case FW_CALLER_IDLE:
    case FW_CALLER_HEAD:
        if (read_head(c)) {
            while (read_body(c)) {
            }
        }
        break;
    case FW_CALLER_BODY:
        while (read_body(c)) {
        }
        break;
    case FW_CALLER_RESPONSE:
        if (len > FW_PIPELINED_MAX_BYTES) {
            notify_disconnect(c);
            Fw_Caller_Free(c, 1);
        }
        break;
    case FW_CALLER_LINGER:
        Fw_Conn_Consume(c->conn, len);
        break;
    }
}

static void
on_closed(void *ctx, int err)
{
    struct fw_http_caller *c = ctx;

    (void)err;
    if (c->state == FW_CALLER_RESPONSE) {
        notify_disconnect(c);
    }
    Fw_Caller_Free(c, 0);
}

static void
on_flushed(void *ctx)
{
    struct fw_http_caller *c = ctx;

    if (c->state == FW_CALLER_RESPONSE && c->server->ops->flushed) {
        c->server->ops->flushed(c->server->ctx, c);
    }
}

static void
on_progress(void *ctx)
{
    struct fw_http_caller *c = ctx;

    if (c->state == FW_CALLER_RESPONSE && c->server->ops->progress) {
        c->server->ops->progress(c->server->ctx, c);
    }
}

static const struct fw_conn_ops conn_ops = {
    .data = on_data,
    .closed = on_closed,
    .flushed = on_flushed,
    .progress = on_progress,
};

void
Fw_Caller_New(struct fw_http_server *s, GSocket *sock)
{
    struct fw_http_caller *c = g_new0(struct fw_http_caller, 1);

    c->server = s;
    c->conn = Fw_Conn_Accept(sock, &conn_ops, c);
    Fw_Conn_SetHeld(c->conn, s->held, FW_HELD_OUTPUT);
    if (!s->is_bounded) {
        Fw_HeldAccount_SetUnbounded(Fw_Conn_Account(c->conn));
    }
    Fw_HeldAccount_Set(Fw_Conn_Account(c->conn), FW_HELD_CONNECTION,
                       &c->charged_self, sizeof(*c));
    Fw_List_Append(&s->callers, &c->link);
    set_state(c, FW_CALLER_IDLE);
}

/* Processes a pipelined request. */
static gboolean
on_resume(gpointer data)
{
    struct fw_http_caller *c = data;

    c->resume_source_id = 0;
    on_data(c);
    return G_SOURCE_REMOVE;
}

void
Fw_Caller_FinishResponse(struct fw_http_caller *c)
{
    size_t len;

    drop_request(c);
    if (c->close_after) {
        Fw_Conn_Shutdown(c->conn);
        set_state(c, FW_CALLER_LINGER);
        return;
    }
    set_state(c, FW_CALLER_IDLE);
    Fw_Conn_Received(c->conn, &len);
    if (len && !c->resume_source_id) {
        c->resume_source_id = g_idle_add(on_resume, c);
    }
}
