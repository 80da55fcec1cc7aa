#include "http/server.h"

#include <errno.h>
#include <string.h>

#include "base/limits.h"
#include "base/list.h"
#include "http/body.h"
#include "http/conn.h"
#include "http/http_internal.h"
#include "io/addr.h"

/*
 * How long input is read and discarded after the last response of a
 * connection. Closing a socket with unread input resets the connection, and
 * the caller could lose the response. A round trip across a region is 40 ms;
 * the rest is for a caller that is slow to notice.
 */
#define FW_LINGER_US (500 * FW_MSEC)

/*
 * Idle time after which a connection may be closed for want of descriptors: a
 * caller that has just connected, or been answered, may be about to send.
 */
#define FW_IDLE_MIN_US (500 * FW_MSEC)
/* The same after the last response: a round trip across a region and more. */
#define FW_LINGER_MIN_US (100 * FW_MSEC)

static const struct fw_http_limits default_limits = {
    .header_bytes = 16384,
    .body_bytes = 4 << 20,
    .buffered_bytes = 32 << 20,
    .head_timeout_us = 5 * FW_SEC,
    .body_idle_timeout_us = 15 * FW_SEC,
    .keep_alive_timeout_us = 60 * FW_SEC,
};

/* Whether nothing is lost when the connection is closed. */
static int
may_close(const struct fw_http_caller *c, int64_t now_us)
{
    int64_t age_us = now_us - c->timer_start_us;

    return (c->state == FW_CALLER_IDLE && !c->resume_source_id &&
            age_us >= FW_IDLE_MIN_US) ||
           (c->state == FW_CALLER_LINGER && !Fw_Conn_Unsent(c->conn) &&
            age_us >= FW_LINGER_MIN_US);
}

/* Closes the connection that hasn't been used for longest, if any. */
static void
close_longest_idle(struct fw_http_server *s)
{
    int64_t now = Fw_Conn_NowUs();
    struct fw_http_caller *longest = NULL;
    struct fw_list *pos;

    FW_LIST_EACH (pos, &s->callers) {
        struct fw_http_caller *c =
            FW_LIST_ENTRY(pos, struct fw_http_caller, link);

        if (may_close(c, now) &&
            (!longest || c->timer_start_us < longest->timer_start_us)) {
            longest = c;
        }
    }
    if (longest) {
        Fw_Caller_Free(longest, 0);
    }
}

/* Return: zero if there is no descriptor for one more connection. */
static int
make_room(struct fw_http_server *s)
{
    const struct fw_held_connections *c;

    if (!s->held || !s->is_bounded) {
        return 1;
    }
    c = Fw_Held_Connections(s->held);
    if (Fw_HeldShare_IsCrowded(c)) {
        close_longest_idle(s);
    }
    return Fw_HeldShare_MayAccept(c);
}

static gboolean
on_accept(GSocket *listener, GIOCondition cond, gpointer data)
{
    struct fw_http_server *s = data;
    GSocket *sock;

    (void)cond;
    while ((sock = g_socket_accept(listener, NULL, NULL))) {
        if (make_room(s)) {
            Fw_Caller_New(s, sock);
        }
        else {
            g_object_unref(sock);
        }
    }
    return G_SOURCE_CONTINUE;
}

static GSocket *
listen_on(const char *addr, int *err)
{
    GSocketAddress *at = Fw_Addr_Parse(addr);
    GSocket *sock;

    *err = -EINVAL;
    if (!at) {
        return NULL;
    }
    sock = g_socket_new(g_socket_address_get_family(at), G_SOCKET_TYPE_STREAM,
                        G_SOCKET_PROTOCOL_TCP, NULL);
    *err = -EADDRINUSE;
    if (sock) {
        g_socket_set_blocking(sock, FALSE);
        g_socket_set_listen_backlog(sock, 1024);
        if (!g_socket_bind(sock, at, TRUE, NULL) ||
            !g_socket_listen(sock, NULL)) {
            g_clear_object(&sock);
        }
    }
    g_object_unref(at);
    return sock;
}

struct fw_http_server *
Fw_Server_New(const char *addr, const struct fw_http_ops *ops, void *ctx,
              int *err)
{
    GSocket *sock = listen_on(addr, err);
    struct fw_http_server *s;

    if (!sock) {
        return NULL;
    }
    s = g_new0(struct fw_http_server, 1);
    s->ops = ops;
    s->ctx = ctx;
    s->limits = default_limits;
    s->listener = sock;
    Fw_List_Init(&s->callers);
    s->source = g_socket_create_source(sock, G_IO_IN, NULL);
    g_source_set_callback(s->source, G_SOURCE_FUNC(on_accept), s, NULL);
    g_source_attach(s->source, g_main_context_get_thread_default());
    return s;
}

void
Fw_Server_Free(struct fw_http_server *s)
{
    if (!s) {
        return;
    }
    while (!Fw_List_Empty(&s->callers)) {
        Fw_Caller_Free(
            FW_LIST_ENTRY(s->callers.next, struct fw_http_caller, link), 0);
    }
    g_source_destroy(s->source);
    g_source_unref(s->source);
    g_object_unref(s->listener);
    g_free(s);
}

void
Fw_Server_SetLimits(struct fw_http_server *s, const struct fw_http_limits *l)
{
    s->limits = *l;
}

void
Fw_Server_SetHeld(struct fw_http_server *s, struct fw_held *held,
                  int is_bounded)
{
    s->held = held;
    s->is_bounded = is_bounded;
}

void
Fw_Server_Drain(struct fw_http_server *s)
{
    s->draining = 1;
}

void
Fw_Server_SetCloseAfterResponse(struct fw_http_server *s, int on)
{
    s->close_after_response = on;
}

void
Fw_Server_SetUnframed(struct fw_http_server *s, int on)
{
    s->unframed = on;
}

void
Fw_Server_CloseIdle(struct fw_http_server *s)
{
    struct fw_list *pos;
    struct fw_list *tmp;

    FW_LIST_EACH_SAFE (pos, tmp, &s->callers) {
        struct fw_http_caller *c =
            FW_LIST_ENTRY(pos, struct fw_http_caller, link);

        if (c->state == FW_CALLER_IDLE && !c->resume_source_id) {
            Fw_Caller_Free(c, 0);
        }
    }
}

int
Fw_Server_CountBusy(const struct fw_http_server *s)
{
    const struct fw_list *pos;
    int n = 0;

    FW_LIST_EACH (pos, &s->callers) {
        const struct fw_http_caller *c =
            FW_LIST_ENTRY(pos, struct fw_http_caller, link);
        n += c->state == FW_CALLER_RESPONSE || c->state == FW_CALLER_BODY ||
             Fw_Conn_Unsent(c->conn) > 0;
    }
    return n;
}

int
Fw_Server_Port(const struct fw_http_server *s)
{
    GSocketAddress *at = g_socket_get_local_address(s->listener, NULL);
    int port =
        at ? g_inet_socket_address_get_port(G_INET_SOCKET_ADDRESS(at)) : 0;

    g_clear_object(&at);
    return port;
}

void
Fw_Server_Url(const struct fw_http_server *s, char *url)
{
    GSocketAddress *at = g_socket_get_local_address(s->listener, NULL);
    char addr[FW_URL_MAX];

    Fw_Addr_Print(at, addr);
    g_snprintf(url, FW_URL_MAX, "http://%s", addr);
    g_object_unref(at);
}

/* Nonzero when the caller has stopped reading a complete response. */
static int
write_stalled(const struct fw_http_server *s, struct fw_http_caller *c,
              int64_t now_us)
{
    uint64_t sent = Fw_Conn_SentBytes(c->conn);

    if (sent != c->sent_bytes || !Fw_Conn_Unsent(c->conn) ||
        c->state == FW_CALLER_RESPONSE) {
        c->sent_bytes = sent;
        c->progress_us = now_us;
        return 0;
    }
    return s->limits.write_stall_timeout_us &&
           now_us - c->progress_us >= s->limits.write_stall_timeout_us;
}

static int
request_timed_out(const struct fw_http_server *s,
                  const struct fw_http_caller *c, int64_t now_us)
{
    return (c->state == FW_CALLER_HEAD || c->state == FW_CALLER_BODY) &&
           s->limits.request_timeout_us &&
           now_us - c->request_start_us >= s->limits.request_timeout_us;
}

static int64_t
state_timeout_us(const struct fw_http_server *s,
                 const struct fw_http_caller *c)
{
    switch (c->state) {
    case FW_CALLER_IDLE:
        return s->limits.keep_alive_timeout_us;
    case FW_CALLER_HEAD:
        return s->limits.head_timeout_us;
    case FW_CALLER_BODY:
        return s->limits.body_idle_timeout_us;
    case FW_CALLER_LINGER:
        return FW_LINGER_US;
    case FW_CALLER_RESPONSE:
        break;
    }
    return INT64_MAX;
}

void
Fw_Server_Tick(struct fw_http_server *s, int64_t now_us)
{
    struct fw_list *pos;
    struct fw_list *tmp;

    FW_LIST_EACH_SAFE (pos, tmp, &s->callers) {
        struct fw_http_caller *c =
            FW_LIST_ENTRY(pos, struct fw_http_caller, link);

        if (write_stalled(s, c, now_us)) {
            Fw_Caller_Free(c, 1);
            continue;
        }
        if ((Fw_Conn_Unsent(c->conn) && c->state != FW_CALLER_RESPONSE) ||
            (now_us - c->timer_start_us < state_timeout_us(s, c) &&
             !request_timed_out(s, c, now_us))) {
            continue;
        }
        if (c->state == FW_CALLER_HEAD || c->state == FW_CALLER_BODY) {
            Fw_Caller_Reject(c, 408, "request took too long to arrive");
        }
        else {
            Fw_Caller_Free(c, 0);
        }
    }
}
