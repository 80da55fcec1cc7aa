#include "http/client.h"

#include <errno.h>
#include <string.h>

#include "base/limits.h"
#include "base/list.h"
#include "http/body.h"
#include "http/conn.h"
#include "http/idle_conns.h"

/* Largest head of a response. */
#define FW_RESPONSE_HEAD_MAX_BYTES 32768
/* Idle time of a connection whose upstream sends no Keep-Alive timeout. */
#define FW_KEEP_ALIVE_DEFAULT_US (4 * FW_SEC)
/*
 * Subtracted from the Keep-Alive timeout of an upstream: a request that is in
 * flight when the upstream closes the connection is lost. Covers the time on
 * the network and a busy main loop on either side.
 */
#define FW_KEEP_ALIVE_MARGIN_US (600 * FW_MSEC)

struct fw_conn_pool {
    struct fw_held *held;
    GHashTable *idle_conns; /* by address, see idle_conns.h */
    struct fw_list active;
    struct fw_metric opened;
    struct fw_metric reused;
    struct fw_metric mismatched;
};

/**
 * struct fw_exchange - a request and its response.
 * @started_us: when connecting started
 * @sent_at_start: bytes that earlier requests sent on this connection
 * @head_read: the head of the response was received
 * @discarding: the response belongs to another request
 * @reusable: keep the connection afterwards
 * @in_callback: the exchange must not be freed yet
 * @aborted: free the exchange when the callback returns
 * @waiting: bytes that wait to be read by the upstream
 * @idle_max_us: how long the connection may stay idle afterwards
 */
struct fw_exchange {
    struct fw_conn_pool *pool;
    struct fw_list link;
    struct fw_conn *conn;
    char addr[FW_URL_MAX];
    const struct fw_exchange_ops *ops;
    void *ctx;
    struct fw_exchange_opts opts;
    int64_t started_us;
    uint64_t sent_at_start;
    int head_read;
    int discarding;
    int reusable;
    int in_callback;
    int aborted;
    size_t waiting;
    int64_t idle_max_us;
    struct fw_http_body_decoder body_decoder;
};

struct fw_conn_pool *
Fw_ConnPool_New(void)
{
    struct fw_conn_pool *p = g_new0(struct fw_conn_pool, 1);

    p->idle_conns = Fw_IdleConns_New();
    Fw_List_Init(&p->active);
    p->opened = (struct fw_metric){
        .name = "fw_upstream_connections_opened_total",
        .help = "Connections opened to upstreams and the platform"};
    p->reused =
        (struct fw_metric){.name = "fw_upstream_connections_reused_total",
                           .help = "Calls made on a kept connection"};
    p->mismatched = (struct fw_metric){
        .name = "fw_upstream_foreign_answers_total",
        .help = "Answers dropped because they belong to another request"};
    return p;
}

void
Fw_ConnPool_AddMetrics(struct fw_conn_pool *p, struct fw_metrics *m)
{
    Fw_Metrics_Add(m, &p->opened);
    Fw_Metrics_Add(m, &p->reused);
    Fw_Metrics_Add(m, &p->mismatched);
}

void
Fw_ConnPool_SetHeld(struct fw_conn_pool *p, struct fw_held *held)
{
    p->held = held;
}

void
Fw_ConnPool_CloseIdle(struct fw_conn_pool *p, const char *addr)
{
    g_hash_table_remove(p->idle_conns, addr);
}

static void
set_waiting(struct fw_exchange *x, size_t bytes)
{
    Fw_Held_SetWaiting(x->pool->held, x->addr, &x->waiting, bytes);
}

static void
exchange_free(struct fw_exchange *x)
{
    set_waiting(x, 0);
    Fw_List_Remove(&x->link);
    g_free(x);
}

/* Return: nonzero when the callback aborted the exchange, now freed. */
static int
leave_callback(struct fw_exchange *x)
{
    x->in_callback = 0;
    if (x->aborted) {
        Fw_Conn_Free(x->conn, 1);
        exchange_free(x);
        return 1;
    }
    return 0;
}

static void
exchange_fail(struct fw_exchange *x, int err)
{
    const struct fw_exchange_ops *ops = x->ops;
    void *ctx = x->ctx;
    enum fw_sent sent = Fw_Conn_SentBytes(x->conn) > x->sent_at_start
                            ? FW_SENT_SOME
                            : FW_SENT_NONE;

    Fw_Conn_Free(x->conn, 0);
    exchange_free(x);
    ops->fail(ctx, err, sent);
}

static void
exchange_end(struct fw_exchange *x)
{
    const struct fw_exchange_ops *ops = x->ops;
    void *ctx = x->ctx;
    size_t extra;

    Fw_Conn_Received(x->conn, &extra);
    /*
     * Not reusable when the response preceded the end of the request, or
     * when it is followed by data that belongs to no request.
     */
    if (x->reusable && !extra && !Fw_Conn_Unsent(x->conn)) {
        Fw_Conn_SetReading(x->conn, 1);
        Fw_IdleConns_Put(x->pool->idle_conns, x->addr, x->conn,
                         x->idle_max_us);
    }
    else {
        Fw_Conn_Free(x->conn, 0);
    }
    exchange_free(x);
    ops->end(ctx);
}

static int64_t
keep_alive_us(const struct fw_http_head *h)
{
    const struct fw_http_field *f = Fw_Http_FindField(h, "keep-alive");
    const char *p =
        f ? g_strstr_len(f->value, (gssize)f->value_len, "timeout=") : NULL;
    int64_t us;

    if (!p) {
        return FW_KEEP_ALIVE_DEFAULT_US;
    }
    us = g_ascii_strtoll(p + 8, NULL, 10) * FW_SEC - FW_KEEP_ALIVE_MARGIN_US;
    return CLAMP(us, 0, 60 * FW_SEC);
}

/* Return: 1, or 0 when the exchange was aborted. */
static int
handle_head(struct fw_exchange *x, struct fw_http_head *h)
{
    enum fw_head_action action;

    x->in_callback = 1;
    action = x->ops->head(x->ctx, h);
    if (leave_callback(x)) {
        return 0;
    }
    if (action == FW_HEAD_UNIDENTIFIED &&
        !Fw_SentTags_HasUntagged(Fw_Conn_SentTags(x->conn))) {
        exchange_fail(x, -EBADMSG);
        return 0;
    }
    x->discarding = action != FW_HEAD_ACCEPT;
    if (x->discarding) {
        x->pool->mismatched.value++;
        x->reusable = 0;
    }
    x->head_read = 1;
    Fw_Http_BodyInit(&x->body_decoder, h);
    if (x->opts.no_body) {
        x->body_decoder.done = 1;
    }
    return 1;
}

/* Return: 1 to continue reading; 0 otherwise, when x may be freed. */
static int
read_head(struct fw_exchange *x)
{
    struct fw_http_head h;
    size_t len;
    const char *data = Fw_Conn_Received(x->conn, &len);
    int n = Fw_Http_ParseHead(FW_HTTP_RESPONSE, data, len, &h);

    if (n < 0 || (n == 0 && len > FW_RESPONSE_HEAD_MAX_BYTES)) {
        exchange_fail(x, -EBADMSG);
        return 0;
    }
    if (n == 0) {
        return 0;
    }
    Fw_Conn_Consume(x->conn, (size_t)n);
    n = 1;
    if (h.status >= 200) {
        x->reusable = x->reusable && h.keep_alive;
        x->idle_max_us = keep_alive_us(&h);
        n = handle_head(x, &h);
    }
    Fw_Http_ClearHead(&h);
    return n;
}

/* Return: 1 to continue reading; 0 otherwise, when x may be freed. */
static int
read_body(struct fw_exchange *x)
{
    const char *part;
    size_t part_len;
    size_t len;
    const char *data = Fw_Conn_Received(x->conn, &len);
    int n = Fw_Http_BodyRead(&x->body_decoder, data, len, &part, &part_len);

    if (n < 0) {
        exchange_fail(x, -EBADMSG);
        return 0;
    }
    if (part_len && !x->discarding) {
        x->in_callback = 1;
        x->ops->body(x->ctx, part, part_len);
        if (leave_callback(x)) {
            return 0;
        }
    }
    Fw_Conn_Consume(x->conn, (size_t)n);
    if (!x->body_decoder.done) {
        return n > 0;
    }
    if (!x->discarding) {
        exchange_end(x);
        return 0;
    }
    x->head_read = 0;
    return 1;
}

static void
on_data(void *ctx)
{
    struct fw_exchange *x = ctx;

    while (x->head_read ? read_body(x) : read_head(x)) {
    }
}

/*
 * Whether the connection's end is that of the response. An upstream that
 * closes before it was sent the whole request looks like one that broke off in
 * the middle of its response.
 */
static int
ends_response(const struct fw_exchange *x)
{
    return x->head_read && !x->discarding &&
           Fw_Http_BodyEndsAtClose(&x->body_decoder) &&
           !Fw_Conn_Unsent(x->conn);
}

static void
on_closed(void *ctx, int err)
{
    struct fw_exchange *x = ctx;

    if (!err && ends_response(x)) {
        x->reusable = 0;
        exchange_end(x);
        return;
    }
    exchange_fail(x, err ? err : -EPIPE);
}

static void
on_progress(void *ctx)
{
    struct fw_exchange *x = ctx;

    set_waiting(x, Fw_Conn_Unsent(x->conn));
}

static const struct fw_conn_ops conn_ops = {
    .data = on_data,
    .closed = on_closed,
    .flushed = on_progress,
    .progress = on_progress,
};

/*
 * Return: zero if there is no descriptor for one more connection. Calls that
 * serve no caller use those that are reserved.
 */
static int
may_open(struct fw_conn_pool *p, int is_control)
{
    const struct fw_held_connections *c;

    if (!p->held) {
        return 1;
    }
    c = Fw_Held_Connections(p->held);
    if (!Fw_HeldShare_MayOpen(c)) {
        Fw_IdleConns_CloseOne(p->idle_conns);
    }
    return is_control || Fw_HeldShare_MayOpen(c);
}

static struct fw_conn *
obtain_conn(struct fw_exchange *x, int *err)
{
    struct fw_conn *conn = Fw_IdleConns_Take(
        x->pool->idle_conns, x->addr, x->opts.reuse_idle_max_us,
        x->opts.may_answer_twice ? &x->opts.tag : NULL);

    if (conn) {
        x->pool->reused.value++;
        Fw_Conn_SetOwner(conn, &conn_ops, x);
        return conn;
    }
    if (!may_open(x->pool, x->opts.is_control)) {
        *err = -EMFILE;
        return NULL;
    }
    x->pool->opened.value++;
    conn = Fw_Conn_Open(x->addr, &conn_ops, x, err);
    if (conn) {
        Fw_Conn_SetHeld(conn, x->pool->held, FW_HELD_REQUEST);
    }
    return conn;
}

struct fw_exchange *
Fw_Exchange_Start(struct fw_conn_pool *p, const char *addr,
                  const GString *head, GBytes *body,
                  const struct fw_exchange_opts *opts,
                  const struct fw_exchange_ops *ops, void *ctx, int *err)
{
    struct fw_exchange *x = g_new0(struct fw_exchange, 1);

    x->pool = p;
    x->ops = ops;
    x->ctx = ctx;
    x->opts = *opts;
    x->reusable = 1;
    x->started_us = Fw_Conn_NowUs();
    g_strlcpy(x->addr, addr, sizeof(x->addr));
    x->conn = obtain_conn(x, err);
    if (!x->conn) {
        g_free(x);
        return NULL;
    }
    Fw_Conn_SetPrepaid(x->conn, opts->is_control);
    Fw_List_Append(&p->active, &x->link);
    x->sent_at_start = Fw_Conn_SentBytes(x->conn);
    Fw_SentTags_Add(Fw_Conn_SentTags(x->conn), opts->tag);
    Fw_Conn_Write(x->conn, head->str, head->len);
    if (body) {
        Fw_Conn_WriteBytes(x->conn, body);
    }
    set_waiting(x, Fw_Conn_Unsent(x->conn));
    return x;
}

void
Fw_Exchange_Abort(struct fw_exchange *x)
{
    if (x->in_callback) {
        x->aborted = 1;
        return;
    }
    Fw_Conn_Free(x->conn, 1);
    exchange_free(x);
}

struct fw_held_account *
Fw_Exchange_Account(const struct fw_exchange *x)
{
    return Fw_Conn_Account(x->conn);
}

void
Fw_Exchange_Pause(struct fw_exchange *x, int paused)
{
    Fw_Conn_SetReading(x->conn, !paused);
}

void
Fw_ConnPool_Tick(struct fw_conn_pool *p, int64_t now_us)
{
    struct fw_list *pos;
    struct fw_list *tmp;

    Fw_IdleConns_CloseExpired(p->idle_conns, now_us);
    FW_LIST_EACH_SAFE (pos, tmp, &p->active) {
        struct fw_exchange *x = FW_LIST_ENTRY(pos, struct fw_exchange, link);

        if (!Fw_Conn_Connected(x->conn) &&
            now_us - x->started_us >= x->opts.connect_timeout_us) {
            exchange_fail(x, -ETIMEDOUT);
            /* The callback may have modified the list. */
            break;
        }
    }
}

void
Fw_ConnPool_Free(struct fw_conn_pool *p)
{
    if (!p) {
        return;
    }
    while (!Fw_List_Empty(&p->active)) {
        Fw_Exchange_Abort(
            FW_LIST_ENTRY(p->active.next, struct fw_exchange, link));
    }
    g_hash_table_destroy(p->idle_conns);
    g_free(p);
}
