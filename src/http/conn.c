#include "http/conn.h"

#include <errno.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <string.h>
#include <sys/socket.h>
#include <time.h>

#include "io/addr.h"

/* Bytes read at most per iteration of the main loop. */
#define FW_READ_BYTES 16384
/* Reading pauses while this much received data is unconsumed. */
#define FW_INPUT_MAX_BYTES (256 * 1024)
/*
 * TCP_USER_TIMEOUT: fails a connection whose sent data is not acknowledged, or
 * whose peer has no room for more. With the default, a network partition is
 * detected only after minutes. To upstreams: five times the longest round trip
 * between failure domains with one retransmission after the kernel's minimum
 * timeout of 200 ms.
 */
#define FW_USER_TIMEOUT_MS 2000
/* From callers, who may read an answer late: as long as a write may stall. */
#define FW_CALLER_USER_TIMEOUT_MS 15000

/**
 * struct fw_conn - a connection, which is also a GSource.
 * @in: received data that is not consumed
 * @out: written data, of which the kernel has accepted the first @out_sent
 *       bytes
 * @sent_total: bytes that the kernel has accepted on this connection
 * @shutdown_pending: shut down the sending side when @out is empty
 * @resets_at_close: the kernel resets the connection when it is closed
 * @closed: no further callbacks are made
 */
struct fw_conn {
    GSource source;
    GSocket *sock;
    gpointer fd_tag;
    const struct fw_conn_ops *ops;
    void *ctx;
    GByteArray *in;
    GByteArray *out;
    size_t out_sent;
    uint64_t sent_total;
    int connected;
    int reading;
    int shutdown_pending;
    int resets_at_close;
    int closed;
};

int64_t
Fw_Conn_NowUs(void)
{
    struct timespec t;

    clock_gettime(CLOCK_BOOTTIME, &t);
    return (int64_t)t.tv_sec * 1000000 + t.tv_nsec / 1000;
}

static void
update_events(struct fw_conn *c)
{
    GIOCondition events = 0;

    if (c->closed) {
        return;
    }
    if (c->connected && c->reading && c->in->len < FW_INPUT_MAX_BYTES) {
        events |= G_IO_IN;
    }
    if (!c->connected || Fw_Conn_Unsent(c)) {
        events |= G_IO_OUT;
    }
    g_source_modify_unix_fd(&c->source, c->fd_tag, events);
}

static void
set_reset_at_close(struct fw_conn *c, int on)
{
    struct linger l = {.l_onoff = on, .l_linger = 0};

    c->resets_at_close = on;
    setsockopt(g_socket_get_fd(c->sock), SOL_SOCKET, SO_LINGER, &l, sizeof(l));
}

void
Fw_Conn_ResetUnlessShutdown(struct fw_conn *c)
{
    set_reset_at_close(c, 1);
}

static void
close_conn(struct fw_conn *c, int err)
{
    if (c->closed) {
        return;
    }
    c->closed = 1;
    g_source_modify_unix_fd(&c->source, c->fd_tag, 0);
    c->ops->closed(c->ctx, err);
}

static int
error_to_errno(const GError *error)
{
    switch (error->code) {
    case G_IO_ERROR_CONNECTION_REFUSED:
        return -ECONNREFUSED;
    case G_IO_ERROR_TIMED_OUT:
        return -ETIMEDOUT;
    case G_IO_ERROR_HOST_UNREACHABLE:
    case G_IO_ERROR_NETWORK_UNREACHABLE:
        return -EHOSTUNREACH;
    default:
        return -ECONNRESET;
    }
}

/*
 * Result of a socket operation; frees @error. Return: 1 on success, 0 when it
 * would block, else a negative errno.
 */
static int
io_result(GError *error)
{
    int rc;

    if (!error) {
        return 1;
    }
    rc = error->code == G_IO_ERROR_WOULD_BLOCK ? 0 : error_to_errno(error);
    g_error_free(error);
    return rc;
}

static int
flush(struct fw_conn *c)
{
    while (Fw_Conn_Unsent(c)) {
        GError *error = NULL;
        gssize n = g_socket_send(c->sock, (char *)c->out->data + c->out_sent,
                                 Fw_Conn_Unsent(c), NULL, &error);
        int rc = io_result(error);

        if (rc <= 0) {
            return rc;
        }
        c->out_sent += (size_t)n;
        c->sent_total += (uint64_t)n;
    }
    if (c->out->len) {
        g_byte_array_set_size(c->out, 0);
        c->out_sent = 0;
    }
    if (c->shutdown_pending) {
        if (c->resets_at_close) {
            set_reset_at_close(c, 0);
        }
        g_socket_shutdown(c->sock, FALSE, TRUE, NULL);
        c->shutdown_pending = 0;
    }
    return 1;
}

static void
on_writable(struct fw_conn *c)
{
    GError *error = NULL;
    int rc;

    if (!c->connected && !g_socket_check_connect_result(c->sock, &error)) {
        close_conn(c, io_result(error));
        return;
    }
    c->connected = 1;
    rc = flush(c);
    if (rc < 0) {
        close_conn(c, rc);
    }
    else if (rc > 0 && c->ops->flushed) {
        c->ops->flushed(c->ctx);
    }
}

static void
on_readable(struct fw_conn *c)
{
    static char buf[FW_READ_BYTES];
    GError *error = NULL;
    gssize n = g_socket_receive(c->sock, buf, sizeof(buf), NULL, &error);
    int rc = io_result(error);

    if (rc < 0 || (rc > 0 && n == 0)) {
        close_conn(c, rc < 0 ? rc : 0);
        return;
    }
    if (rc > 0) {
        g_byte_array_append(c->in, (guint8 *)buf, (guint)n);
        c->ops->data(c->ctx);
    }
}

static gboolean
dispatch(GSource *source, GSourceFunc fn, gpointer data)
{
    struct fw_conn *c = (struct fw_conn *)source;
    GIOCondition ready = g_source_query_unix_fd(source, c->fd_tag);

    (void)fn;
    (void)data;
    if (ready & (G_IO_OUT | (c->connected ? 0 : G_IO_ERR | G_IO_HUP))) {
        on_writable(c);
    }
    if (!c->closed && c->connected &&
        (ready & (G_IO_IN | G_IO_HUP | G_IO_ERR)) &&
        (c->reading || (ready & G_IO_ERR))) {
        on_readable(c);
    }
    update_events(c);
    return G_SOURCE_CONTINUE;
}

static void
finalize(GSource *source)
{
    struct fw_conn *c = (struct fw_conn *)source;

    g_clear_object(&c->sock);
    g_byte_array_unref(c->in);
    g_byte_array_unref(c->out);
}

static GSourceFuncs funcs = {.dispatch = dispatch, .finalize = finalize};

static struct fw_conn *
conn_new(GSocket *sock, int user_timeout_ms, const struct fw_conn_ops *ops,
         void *ctx)
{
    GSource *source = g_source_new(&funcs, sizeof(struct fw_conn));
    struct fw_conn *c = (struct fw_conn *)source;

    c->sock = sock;
    c->ops = ops;
    c->ctx = ctx;
    c->in = g_byte_array_new();
    c->out = g_byte_array_new();
    c->reading = 1;
    g_socket_set_blocking(sock, FALSE);
    g_socket_set_option(sock, IPPROTO_TCP, TCP_NODELAY, 1, NULL);
    g_socket_set_option(sock, IPPROTO_TCP, TCP_USER_TIMEOUT, user_timeout_ms,
                        NULL);
    c->fd_tag = g_source_add_unix_fd(source, g_socket_get_fd(sock), 0);
    g_source_attach(source, g_main_context_get_thread_default());
    return c;
}

struct fw_conn *
Fw_Conn_Accept(GSocket *sock, const struct fw_conn_ops *ops, void *ctx)
{
    struct fw_conn *c = conn_new(sock, FW_CALLER_USER_TIMEOUT_MS, ops, ctx);

    c->connected = 1;
    update_events(c);
    return c;
}

struct fw_conn *
Fw_Conn_Open(const char *addr, const struct fw_conn_ops *ops, void *ctx,
             int *err)
{
    GSocketAddress *to = Fw_Addr_Parse(addr);
    GError *error = NULL;
    GSocket *sock;
    struct fw_conn *c;
    gboolean ok;

    *err = -EINVAL;
    if (!to) {
        return NULL;
    }
    sock = g_socket_new(g_socket_address_get_family(to), G_SOCKET_TYPE_STREAM,
                        G_SOCKET_PROTOCOL_TCP, NULL);
    if (!sock) {
        *err = -EMFILE;
        g_object_unref(to);
        return NULL;
    }
    c = conn_new(sock, FW_USER_TIMEOUT_MS, ops, ctx);
    ok = g_socket_connect(sock, to, NULL, &error);
    g_object_unref(to);
    if (!ok && error->code != G_IO_ERROR_PENDING) {
        *err = error_to_errno(error);
        g_error_free(error);
        Fw_Conn_Free(c, 0);
        return NULL;
    }
    g_clear_error(&error);
    c->connected = ok;
    update_events(c);
    return c;
}

void
Fw_Conn_SetOwner(struct fw_conn *c, const struct fw_conn_ops *ops, void *ctx)
{
    c->ops = ops;
    c->ctx = ctx;
}

const char *
Fw_Conn_Received(const struct fw_conn *c, size_t *len)
{
    *len = c->in->len;
    return (const char *)c->in->data;
}

void
Fw_Conn_Consume(struct fw_conn *c, size_t n)
{
    if (n) {
        g_byte_array_remove_range(c->in, 0, (guint)n);
        update_events(c);
    }
}

/* Sends immediately, as most messages fit the socket buffer. */
void
Fw_Conn_Write(struct fw_conn *c, const void *data, size_t len)
{
    if (c->closed) {
        return;
    }
    g_byte_array_append(c->out, data, (guint)len);
    if (c->connected && flush(c) < 0) {
        /* The next read reports the error: no callback is made from here. */
        g_byte_array_set_size(c->out, 0);
        c->out_sent = 0;
    }
    update_events(c);
}

size_t
Fw_Conn_Unsent(const struct fw_conn *c)
{
    return c->out->len - c->out_sent;
}

uint64_t
Fw_Conn_SentBytes(const struct fw_conn *c)
{
    return c->sent_total;
}

int
Fw_Conn_Connected(const struct fw_conn *c)
{
    return c->connected;
}

void
Fw_Conn_SetReading(struct fw_conn *c, int on)
{
    if (c->reading != on) {
        c->reading = on;
        update_events(c);
    }
}

void
Fw_Conn_Shutdown(struct fw_conn *c)
{
    c->shutdown_pending = 1;
    if (!c->closed && c->connected) {
        flush(c);
        update_events(c);
    }
}

void
Fw_Conn_Free(struct fw_conn *c, int reset)
{
    c->closed = 1;
    if (reset) {
        set_reset_at_close(c, 1);
    }
    g_source_destroy(&c->source);
    g_socket_close(c->sock, NULL);
    g_source_unref(&c->source);
}
