/* Requests of one caller's connection; answers are in answer.c. */
#include <errno.h>
#include <string.h>

#include "http/http_internal.h"

/* Pipelined bytes that wait behind a request, beyond which it is cut. */
#define FW_BEHIND_MAX (128 * 1024)

static void
enter(struct fw_http_caller *c, enum fw_http_state state)
{
    if (c->state == FW_CALLER_IDLE) {
        c->begun_us = Fw_Conn_Now();
    }
    c->state = state;
    c->since_us = Fw_Conn_Now();
}

static void
drop_request(struct fw_http_caller *c)
{
    Fw_Http_ClearHead(&c->head);
    Fw_Caller_ForgetBody(c);
    if (c->body) {
        c->server->held -= c->body->len;
        g_clear_pointer(&c->body, g_byte_array_unref);
    }
}

void
Fw_Caller_Free(struct fw_http_caller *c, int reset)
{
    if (c->resume) {
        g_source_remove(c->resume);
    }
    drop_request(c);
    Fw_List_Remove(&c->link);
    Fw_Conn_Free(c->conn, reset);
    g_free(c);
}

void
Fw_Caller_Refuse(struct fw_http_caller *c, int status, const char *why)
{
    struct fw_http_server *s = c->server;
    GString *fields = g_string_new(NULL);
    GString *body = g_string_new(NULL);

    s->ops->refused(s->ctx, status, why);
    if (s->ops->refusal) {
        s->ops->refusal(s->ctx, &c->head, status, why, fields, body);
    }
    else {
        g_string_append(fields, "Content-Type: text/plain\r\n");
        g_string_append(body, why);
    }
    c->last = 1;
    Fw_Caller_Answer(c, status, fields->str, body->str);
    g_string_free(fields, TRUE);
    g_string_free(body, TRUE);
}

void
Fw_Caller_ForgetBody(struct fw_http_caller *c)
{
    if (c->whole) {
        c->server->held -= g_bytes_get_size(c->whole);
        g_clear_pointer(&c->whole, g_bytes_unref);
    }
}

static int
read_head(struct fw_http_caller *c)
{
    const struct fw_http_limits *l = &c->server->limits;
    const struct fw_http_field *expect;
    size_t len;
    const char *data = Fw_Conn_In(c->conn, &len);
    int n = Fw_Http_ReadHead(FW_HTTP_REQUEST, data, MIN(len, l->header_bytes),
                             &c->head);

    if (n == 0 && len >= l->header_bytes) {
        Fw_Caller_Refuse(c, 431, "the head is too large");
        return 0;
    }
    if (n < 0) {
        Fw_Caller_Refuse(c, 400, "the head breaks the protocol");
        return 0;
    }
    if (n == 0) {
        if (len && c->state == FW_CALLER_IDLE) {
            enter(c, FW_CALLER_HEAD);
        }
        return 0;
    }
    Fw_Conn_Consume(c->conn, (size_t)n);
    if (c->head.framing == FW_HTTP_LENGTH && c->head.length > l->body_bytes) {
        Fw_Caller_Refuse(c, 413, "the body is too large");
        return 0;
    }
    Fw_Http_FrameInit(&c->frame, &c->head);
    c->body = g_byte_array_new();
    enter(c, FW_CALLER_BODY);
    expect = Fw_Http_Find(&c->head, "expect");
    if (expect && Fw_Http_HasToken(expect, "100-continue")) {
        Fw_Conn_Write(c->conn, "HTTP/1.1 100 Continue\r\n\r\n", 25);
    }
    return 1;
}

static int
keep_body(struct fw_http_caller *c, const char *part, size_t len)
{
    struct fw_http_server *s = c->server;

    if (c->body->len + len > s->limits.body_bytes) {
        Fw_Caller_Refuse(c, 413, "the body is too large");
        return -EMSGSIZE;
    }
    if (s->held + len > s->limits.held_bytes) {
        Fw_Caller_Refuse(c, 503, "no memory for the body");
        return -ENOMEM;
    }
    s->held += len;
    g_byte_array_append(c->body, (const guint8 *)part, (guint)len);
    c->since_us = Fw_Conn_Now();
    return 0;
}

static void
hand_over(struct fw_http_caller *c)
{
    struct fw_http_server *s = c->server;

    c->whole = g_byte_array_free_to_bytes(c->body);
    c->body = NULL;
    c->last = s->draining || !c->head.keep_alive;
    enter(c, FW_CALLER_ANSWER);
    s->ops->request(s->ctx, c, &c->head, c->whole);
}

/* Nonzero while there may be more to take from what came. */
static int
read_body(struct fw_http_caller *c)
{
    const char *part;
    size_t part_len;
    size_t len;
    const char *data = Fw_Conn_In(c->conn, &len);
    int n = Fw_Http_FrameRead(&c->frame, data, len, &part, &part_len);

    if (n < 0) {
        Fw_Caller_Refuse(c, 400, "the body breaks its framing");
        return 0;
    }
    if (part_len && keep_body(c, part, part_len)) {
        return 0;
    }
    Fw_Conn_Consume(c->conn, (size_t)n);
    if (c->frame.done) {
        hand_over(c);
        return 0;
    }
    return n > 0;
}

static void
tell_gone(struct fw_http_caller *c)
{
    if (c->server->ops->gone) {
        c->server->ops->gone(c->server->ctx, c);
    }
}

/* c may be gone when a step returns 0. */
static void
on_data(void *ctx)
{
    struct fw_http_caller *c = ctx;
    size_t len;

    Fw_Conn_In(c->conn, &len);
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
    case FW_CALLER_ANSWER:
        if (len > FW_BEHIND_MAX) {
            tell_gone(c);
            Fw_Caller_Free(c, 1);
        }
        break;
    case FW_CALLER_CLOSE:
        Fw_Conn_Consume(c->conn, len);
        break;
    }
}

static void
on_closed(void *ctx, int err)
{
    struct fw_http_caller *c = ctx;

    (void)err;
    if (c->state == FW_CALLER_ANSWER) {
        tell_gone(c);
    }
    Fw_Caller_Free(c, 0);
}

static void
on_drained(void *ctx)
{
    struct fw_http_caller *c = ctx;

    if (c->state == FW_CALLER_ANSWER && c->server->ops->drained) {
        c->server->ops->drained(c->server->ctx, c);
    }
}

static const struct fw_conn_ops conn_ops = {
    .data = on_data,
    .closed = on_closed,
    .drained = on_drained,
};

void
Fw_Caller_New(struct fw_http_server *s, GSocket *sock)
{
    struct fw_http_caller *c = g_new0(struct fw_http_caller, 1);

    c->server = s;
    c->conn = Fw_Conn_Accept(sock, &conn_ops, c);
    Fw_List_Append(&s->callers, &c->link);
    enter(c, FW_CALLER_IDLE);
}

/* The next request may have come already. */
static gboolean
resume_later(gpointer data)
{
    struct fw_http_caller *c = data;

    c->resume = 0;
    on_data(c);
    return G_SOURCE_REMOVE;
}

void
Fw_Caller_Done(struct fw_http_caller *c)
{
    size_t len;

    drop_request(c);
    if (c->last) {
        Fw_Conn_Shutdown(c->conn);
        enter(c, FW_CALLER_CLOSE);
        return;
    }
    enter(c, FW_CALLER_IDLE);
    Fw_Conn_In(c->conn, &len);
    if (len && !c->resume) {
        c->resume = g_idle_add(resume_later, c);
    }
}
