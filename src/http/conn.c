#include "http/conn.h"

#include <errno.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <string.h>
#include <sys/socket.h>
#include <time.h>

#include "base/list.h"
#include "io/addr.h"

/* Bytes read at most per iteration of the main loop. */
#define FW_READ_BYTES 16384
/* Reading pauses while this much received data is unconsumed. */
#define FW_INPUT_MAX_BYTES (256 * 1024)
/* Reading pauses while the budget allows for less. */
#define FW_READ_MIN_BYTES 256
/* Least memory for received data. */
#define FW_INPUT_MIN_BYTES 512
/*
 * Memory for data not yet sent is allocated in parts of these sizes: the first
 * part may be small, as most backlogs are; the largest are so small that the
 * memory is given back while a long backlog is sent.
 */
#define FW_FIRST_PART_MIN_BYTES 1024
#define FW_PART_MIN_BYTES (16 * 1024)
#define FW_PART_MAX_BYTES (64 * 1024)
/*
 * TCP_NOTSENT_LOWAT of connections to upstreams: what the kernel holds beyond
 * what is on the way. What an upstream doesn't read is counted only if the
 * kernel doesn't take it.
 */
#define FW_KERNEL_UNSENT_BYTES (64 * 1024)
/* Memory of a socket and its event source besides struct fw_conn. */
#define FW_SOCKET_BYTES 1024
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
 * struct out_part - data to be sent.
 * @shared: holds @data, NULL if that is @own
 * @sent: bytes that the kernel has accepted
 * @size: bytes that fit @own
 */
struct out_part {
    struct fw_list link;
    GBytes *shared;
    const char *data;
    size_t len;
    size_t sent;
    size_t size;
    char own[];
};

/**
 * struct fw_conn - a connection, which is also a GSource.
 * @in: the first @in_len of @in_size bytes are received data that is not
 *      consumed; NULL when there is none
 * @out: struct out_part, written data that the kernel has not accepted
 * @unsent: bytes of @out not yet accepted
 * @out_bytes: memory of @out without shared data
 * @account: what the buffers are charged to, or NULL
 * @wait: pause of reading until @account may hold more
 * @charged_conn, @charged_in, @charged_out: charges
 * @is_prepaid: see Fw_Conn_SetPrepaid
 * @send_err: error of a send that no callback has reported, 0 for none
 * @sent_total: bytes that the kernel has accepted on this connection
 * @sent_tags: see Fw_Conn_SentTags
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
    char *in;
    size_t in_len;
    size_t in_size;
    struct fw_list out;
    size_t unsent;
    size_t out_bytes;
    struct fw_held_account *account;
    struct fw_held_wait wait;
    enum fw_held_kind out_kind;
    size_t charged_conn;
    size_t charged_in;
    size_t charged_out;
    int is_prepaid;
    int send_err;
    uint64_t sent_total;
    struct fw_sent_tags sent_tags;
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
    if (c->connected && c->reading && !c->wait.account &&
        c->in_len < FW_INPUT_MAX_BYTES) {
        events |= G_IO_IN;
    }
    if (!c->connected || Fw_Conn_Unsent(c)) {
        events |= G_IO_OUT;
    }
    g_source_modify_unix_fd(&c->source, c->fd_tag, events);
}

static void
charge_in(struct fw_conn *c)
{
    Fw_HeldAccount_Set(c->account, FW_HELD_INPUT, &c->charged_in, c->in_size);
}

static void
charge_out(struct fw_conn *c)
{
    Fw_HeldAccount_Set(c->account, c->out_kind, &c->charged_out, c->out_bytes);
}

static void
append_input(struct fw_conn *c, const char *data, size_t len)
{
    size_t size = MAX(c->in_size, FW_INPUT_MIN_BYTES);

    while (size < c->in_len + len) {
        size *= 2;
    }
    if (size != c->in_size) {
        c->in = g_realloc(c->in, size);
        c->in_size = size;
        charge_in(c);
    }
    memcpy(c->in + c->in_len, data, len);
    c->in_len += len;
}

static void
drop_input(struct fw_conn *c)
{
    g_clear_pointer(&c->in, g_free);
    c->in_len = 0;
    c->in_size = 0;
    charge_in(c);
}

static void
remove_part(struct fw_conn *c, struct out_part *p)
{
    Fw_List_Remove(&p->link);
    c->unsent -= p->len - p->sent;
    c->out_bytes -= sizeof(*p) + p->size;
    charge_out(c);
    if (p->shared) {
        g_bytes_unref(p->shared);
    }
    g_free(p);
}

static void
drop_output(struct fw_conn *c)
{
    while (!Fw_List_Empty(&c->out)) {
        remove_part(c, FW_LIST_ENTRY(c->out.next, struct out_part, link));
    }
}

static struct out_part *
add_part(struct fw_conn *c, size_t size)
{
    struct out_part *p = g_malloc(sizeof(*p) + size);

    *p = (struct out_part){.data = p->own, .size = size};
    Fw_List_Append(&c->out, &p->link);
    c->out_bytes += sizeof(*p) + size;
    charge_out(c);
    return p;
}

/* The last part if it has room, else a new one for @len bytes. */
static struct out_part *
part_with_room(struct fw_conn *c, size_t len)
{
    size_t least = FW_FIRST_PART_MIN_BYTES;

    if (!Fw_List_Empty(&c->out)) {
        struct out_part *p = FW_LIST_ENTRY(c->out.prev, struct out_part, link);

        if (p->len < p->size) {
            return p;
        }
        least = FW_PART_MIN_BYTES;
    }
    return add_part(c, CLAMP(len, least, FW_PART_MAX_BYTES));
}

static void
append_output(struct fw_conn *c, const char *data, size_t len)
{
    while (len) {
        struct out_part *p = part_with_room(c, len);
        size_t n = MIN(len, p->size - p->len);

        memcpy(p->own + p->len, data, n);
        p->len += n;
        c->unsent += n;
        data += n;
        len -= n;
    }
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

/*
 * Sends from @data. Return: as io_result; *@sent bytes were accepted. The
 * kernel reports a reset once: to the send if that comes first, so that the
 * read after the last data finds an ordinary end. The error is kept for it.
 */
static int
send_some(struct fw_conn *c, const char *data, size_t len, size_t *sent)
{
    GError *error = NULL;
    gssize n = g_socket_send(c->sock, data, len, NULL, &error);
    int rc = io_result(error);

    *sent = n > 0 ? (size_t)n : 0;
    c->sent_total += *sent;
    c->send_err = c->send_err ? c->send_err : MIN(rc, 0);
    return rc;
}

static int
flush(struct fw_conn *c)
{
    while (!Fw_List_Empty(&c->out)) {
        struct out_part *p = FW_LIST_ENTRY(c->out.next, struct out_part, link);
        size_t n;
        int rc = send_some(c, p->data + p->sent, p->len - p->sent, &n);

        if (rc <= 0) {
            return rc;
        }
        p->sent += n;
        c->unsent -= n;
        if (p->sent == p->len) {
            remove_part(c, p);
        }
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
    uint64_t sent_before = c->sent_total;
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
    else if (rc == 0 && c->sent_total != sent_before && c->ops->progress) {
        c->ops->progress(c->ctx);
    }
}

static void
on_room(void *ctx)
{
    update_events(ctx);
}

static void
on_readable(struct fw_conn *c, int has_error)
{
    static char buf[FW_READ_BYTES];
    size_t room =
        c->is_prepaid ? FW_READ_BYTES : Fw_HeldAccount_Room(c->account);
    GError *error = NULL;
    gssize n;
    int rc;

    if (room < FW_READ_MIN_BYTES && !has_error) {
        Fw_HeldAccount_Wait(c->account, &c->wait);
        return;
    }
    n = g_socket_receive(c->sock, buf,
                         CLAMP(room, FW_READ_MIN_BYTES, sizeof(buf)), NULL,
                         &error);
    rc = io_result(error);
    if (rc < 0 || (rc > 0 && n == 0)) {
        close_conn(c, rc < 0 ? rc : c->send_err);
        return;
    }
    if (rc > 0) {
        append_input(c, buf, (size_t)n);
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
        ((c->reading && !c->wait.account) || (ready & G_IO_ERR))) {
        on_readable(c, (ready & G_IO_ERR) != 0);
    }
    update_events(c);
    return G_SOURCE_CONTINUE;
}

static void
finalize(GSource *source)
{
    struct fw_conn *c = (struct fw_conn *)source;

    g_clear_object(&c->sock);
    g_free(c->in);
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
    c->wait = (struct fw_held_wait){
        .need = FW_READ_MIN_BYTES, .resume = on_room, .ctx = c};
    Fw_List_Init(&c->out);
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
Fw_Conn_SetHeld(struct fw_conn *c, struct fw_held *held,
                enum fw_held_kind out_kind)
{
    c->account = Fw_HeldAccount_New(held);
    Fw_Held_CountConnection(held, 1);
    c->out_kind = out_kind;
    if (held && out_kind == FW_HELD_REQUEST) {
        g_socket_set_option(c->sock, IPPROTO_TCP, TCP_NOTSENT_LOWAT,
                            FW_KERNEL_UNSENT_BYTES, NULL);
    }
    Fw_HeldAccount_Set(c->account, FW_HELD_CONNECTION, &c->charged_conn,
                       sizeof(*c) + FW_SOCKET_BYTES);
    charge_in(c);
    charge_out(c);
}

struct fw_held_account *
Fw_Conn_Account(const struct fw_conn *c)
{
    return c->account;
}

void
Fw_Conn_SetPrepaid(struct fw_conn *c, int on)
{
    c->is_prepaid = on;
    if (on && c->wait.account) {
        Fw_HeldWait_Cancel(&c->wait);
        update_events(c);
    }
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
    *len = c->in_len;
    return c->in ? c->in : "";
}

/* An empty buffer is freed: most connections are idle. */
void
Fw_Conn_Consume(struct fw_conn *c, size_t n)
{
    if (!n) {
        return;
    }
    c->in_len -= n;
    if (c->in_len) {
        memmove(c->in, c->in + n, c->in_len);
    }
    else {
        drop_input(c);
    }
    update_events(c);
}

/*
 * Sends immediately what the socket buffer takes, usually all of it. Return:
 * bytes sent; all of them on an error, which the read that finds the end of
 * the connection reports, as no callback is made from here.
 */
static size_t
send_at_once(struct fw_conn *c, const char *data, size_t len)
{
    size_t sent = 0;
    int rc = 1;

    if (!c->connected || !Fw_List_Empty(&c->out)) {
        return 0;
    }
    while (sent < len && rc > 0) {
        size_t n;

        rc = send_some(c, data + sent, len - sent, &n);
        sent += n;
    }
    return rc < 0 ? len : sent;
}

void
Fw_Conn_Write(struct fw_conn *c, const void *data, size_t len)
{
    size_t sent;

    if (c->closed) {
        return;
    }
    sent = send_at_once(c, data, len);
    append_output(c, (const char *)data + sent, len - sent);
    update_events(c);
}

void
Fw_Conn_WriteBytes(struct fw_conn *c, GBytes *data)
{
    struct out_part *p;
    gsize len;
    const char *start = g_bytes_get_data(data, &len);
    size_t sent;

    if (c->closed || !len) {
        return;
    }
    sent = send_at_once(c, start, len);
    if (sent < len) {
        p = add_part(c, 0);
        p->shared = g_bytes_ref(data);
        p->data = start;
        p->len = len;
        p->sent = sent;
        c->unsent += len - sent;
    }
    update_events(c);
}

size_t
Fw_Conn_Unsent(const struct fw_conn *c)
{
    return c->unsent;
}

struct fw_sent_tags *
Fw_Conn_SentTags(struct fw_conn *c)
{
    return &c->sent_tags;
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

int
Fw_Conn_IsAtEnd(const struct fw_conn *c)
{
    char next;

    return !c->in_len && recv(g_socket_get_fd(c->sock), &next, 1,
                              MSG_PEEK | MSG_DONTWAIT) == 0;
}

int
Fw_Conn_IsQuiet(const struct fw_conn *c)
{
    return !c->in_len &&
           !g_socket_condition_check(c->sock, G_IO_IN | G_IO_HUP | G_IO_ERR);
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
    Fw_HeldWait_Cancel(&c->wait);
    drop_output(c);
    drop_input(c);
    Fw_HeldAccount_Set(c->account, FW_HELD_CONNECTION, &c->charged_conn, 0);
    Fw_Held_CountConnection(Fw_HeldAccount_Budget(c->account), -1);
    Fw_HeldAccount_Unref(c->account);
    c->account = NULL;
    g_source_destroy(&c->source);
    g_socket_close(c->sock, NULL);
    g_source_unref(&c->source);
}
