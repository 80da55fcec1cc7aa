#include "http/client.h"

#include <errno.h>
#include <string.h>

#include "base/limits.h"
#include "base/list.h"
#include "http/conn.h"
#include "http/frame.h"
#include "http/kept.h"

/* A response's head beyond this is no head, bytes. */
#define FW_ANSWER_HEAD_MAX 32768
/* Idle time allowed when the upstream names none: under common defaults. */
#define FW_IDLE_DEFAULT_US (4 * FW_SEC)
/*
 * Taken off the idle time that an upstream names: a request that is on its
 * way when the upstream closes is lost without an answer. Covers the way
 * there and a busy loop on either side.
 */
#define FW_IDLE_MARGIN_US (600 * FW_MSEC)

struct fw_pool {
    GHashTable *kept; /* see kept.h */
    struct fw_list running;
    struct fw_metric opened;
    struct fw_metric reused;
    struct fw_metric foreign;
};

struct fw_exchange {
    struct fw_pool *pool;
    struct fw_list link;
    struct fw_conn *conn;
    char addr[FW_URL_MAX];
    const struct fw_exchange_ops *ops;
    void *ctx;
    struct fw_exchange_opts opts;
    int64_t begun_us;
    uint64_t sent_before; /* of earlier requests on this connection */
    int have_head;
    int skipping;
    int keep;
    int calling; /* its owner is being called: freed only afterwards */
    int stopped;
    int64_t idle_us;
    struct fw_http_frame frame;
};

struct fw_pool *
Fw_Pool_New(void)
{
    struct fw_pool *p = g_new0(struct fw_pool, 1);

    p->kept = Fw_Kept_New();
    Fw_List_Init(&p->running);
    p->opened = (struct fw_metric){
        .name = "fw_upstream_connections_opened_total",
        .help = "Connections opened to upstreams and the platform"};
    p->reused =
        (struct fw_metric){.name = "fw_upstream_connections_reused_total",
                           .help = "Calls made on a kept connection"};
    p->foreign = (struct fw_metric){
        .name = "fw_upstream_foreign_answers_total",
        .help = "Answers dropped because they belong to another request"};
    return p;
}

void
Fw_Pool_AddMetrics(struct fw_pool *p, struct fw_metrics *m)
{
    Fw_Metrics_Add(m, &p->opened);
    Fw_Metrics_Add(m, &p->reused);
    Fw_Metrics_Add(m, &p->foreign);
}

void
Fw_Pool_Forget(struct fw_pool *p, const char *addr)
{
    g_hash_table_remove(p->kept, addr);
}

static void
leave(struct fw_exchange *x)
{
    Fw_List_Remove(&x->link);
    g_free(x);
}

/* After the owner was called: nonzero when it has stopped the exchange. */
static int
was_stopped(struct fw_exchange *x)
{
    x->calling = 0;
    if (x->stopped) {
        Fw_Conn_Free(x->conn, 1);
        leave(x);
        return 1;
    }
    return 0;
}

static void
fail(struct fw_exchange *x, int err)
{
    const struct fw_exchange_ops *ops = x->ops;
    void *ctx = x->ctx;
    enum fw_sent sent =
        Fw_Conn_Sent(x->conn) > x->sent_before ? FW_SENT_SOME : FW_SENT_NONE;

    Fw_Conn_Free(x->conn, 0);
    leave(x);
    ops->fail(ctx, err, sent);
}

static void
done(struct fw_exchange *x)
{
    const struct fw_exchange_ops *ops = x->ops;
    void *ctx = x->ctx;
    size_t behind;

    Fw_Conn_In(x->conn, &behind);
    /*
     * An answer that came before the request was out leaves the upstream
     * waiting for the rest; bytes behind an answer are nobody's.
     */
    if (x->keep && !behind && !Fw_Conn_Pending(x->conn)) {
        Fw_Conn_SetReading(x->conn, 1);
        Fw_Kept_Put(x->pool->kept, x->addr, x->conn, x->idle_us);
    }
    else {
        Fw_Conn_Free(x->conn, 0);
    }
    leave(x);
    ops->end(ctx);
}

static int64_t
idle_allowed(const struct fw_http_head *h)
{
    const struct fw_http_field *f = Fw_Http_Find(h, "keep-alive");
    const char *p =
        f ? g_strstr_len(f->value, (gssize)f->value_len, "timeout=") : NULL;
    int64_t us;

    if (!p) {
        return FW_IDLE_DEFAULT_US;
    }
    us = g_ascii_strtoll(p + 8, NULL, 10) * FW_SEC - FW_IDLE_MARGIN_US;
    return CLAMP(us, 0, 60 * FW_SEC);
}

/* Nonzero when the exchange goes on. */
static int
take_head(struct fw_exchange *x, struct fw_http_head *h)
{
    x->calling = 1;
    x->skipping = x->ops->head(x->ctx, h) == FW_TAKE_SKIP;
    if (was_stopped(x)) {
        return 0;
    }
    if (x->skipping) {
        x->pool->foreign.value++;
        x->keep = 0;
    }
    x->have_head = 1;
    Fw_Http_FrameInit(&x->frame, h);
    if (x->opts.no_body) {
        x->frame.done = 1;
    }
    return 1;
}

/* Nonzero when there may be more to read; x may be gone otherwise. */
static int
read_head(struct fw_exchange *x)
{
    struct fw_http_head h;
    size_t len;
    const char *data = Fw_Conn_In(x->conn, &len);
    int n = Fw_Http_ReadHead(FW_HTTP_RESPONSE, data, len, &h);

    if (n < 0 || (n == 0 && len > FW_ANSWER_HEAD_MAX)) {
        fail(x, -EBADMSG);
        return 0;
    }
    if (n == 0) {
        return 0;
    }
    Fw_Conn_Consume(x->conn, (size_t)n);
    n = 1;
    if (h.status >= 200) {
        x->keep = x->keep && h.keep_alive;
        x->idle_us = idle_allowed(&h);
        n = take_head(x, &h);
    }
    Fw_Http_ClearHead(&h);
    return n;
}

static int
read_body(struct fw_exchange *x)
{
    const char *part;
    size_t part_len;
    size_t len;
    const char *data = Fw_Conn_In(x->conn, &len);
    int n = Fw_Http_FrameRead(&x->frame, data, len, &part, &part_len);

    if (n < 0) {
        fail(x, -EBADMSG);
        return 0;
    }
    if (part_len && !x->skipping) {
        x->calling = 1;
        x->ops->body(x->ctx, part, part_len);
        if (was_stopped(x)) {
            return 0;
        }
    }
    Fw_Conn_Consume(x->conn, (size_t)n);
    if (!x->frame.done) {
        return n > 0;
    }
    if (!x->skipping) {
        done(x);
        return 0;
    }
    x->have_head = 0;
    return 1;
}

static void
on_data(void *ctx)
{
    struct fw_exchange *x = ctx;

    while (x->have_head ? read_body(x) : read_head(x)) {
    }
}

static void
on_closed(void *ctx, int err)
{
    struct fw_exchange *x = ctx;

    if (!err && x->have_head && !x->skipping &&
        Fw_Http_FrameEndsHere(&x->frame)) {
        x->keep = 0;
        done(x);
        return;
    }
    fail(x, err ? err : -EPIPE);
}

static const struct fw_conn_ops conn_ops = {
    .data = on_data,
    .closed = on_closed,
};

static struct fw_conn *
connect_to(struct fw_exchange *x, int *err)
{
    struct fw_conn *conn =
        Fw_Kept_Take(x->pool->kept, x->addr, x->opts.reuse_us);

    if (conn) {
        x->pool->reused.value++;
        Fw_Conn_SetOwner(conn, &conn_ops, x);
        return conn;
    }
    x->pool->opened.value++;
    return Fw_Conn_Open(x->addr, &conn_ops, x, err);
}

struct fw_exchange *
Fw_Exchange_Start(struct fw_pool *p, const char *addr, const GString *head,
                  GBytes *body, const struct fw_exchange_opts *opts,
                  const struct fw_exchange_ops *ops, void *ctx, int *err)
{
    struct fw_exchange *x = g_new0(struct fw_exchange, 1);

    x->pool = p;
    x->ops = ops;
    x->ctx = ctx;
    x->opts = *opts;
    x->keep = 1;
    x->begun_us = Fw_Conn_Now();
    g_strlcpy(x->addr, addr, sizeof(x->addr));
    x->conn = connect_to(x, err);
    if (!x->conn) {
        g_free(x);
        return NULL;
    }
    Fw_List_Append(&p->running, &x->link);
    x->sent_before = Fw_Conn_Sent(x->conn);
    Fw_Conn_Write(x->conn, head->str, head->len);
    if (body && g_bytes_get_size(body)) {
        Fw_Conn_Write(x->conn, g_bytes_get_data(body, NULL),
                      g_bytes_get_size(body));
    }
    return x;
}

void
Fw_Exchange_Stop(struct fw_exchange *x)
{
    if (x->calling) {
        x->stopped = 1;
        return;
    }
    Fw_Conn_Free(x->conn, 1);
    leave(x);
}

void
Fw_Exchange_Pause(struct fw_exchange *x, int paused)
{
    Fw_Conn_SetReading(x->conn, !paused);
}

void
Fw_Pool_Tick(struct fw_pool *p, int64_t now_us)
{
    struct fw_list *pos;
    struct fw_list *tmp;

    Fw_Kept_Tick(p->kept, now_us);
    FW_LIST_EACH_SAFE (pos, tmp, &p->running) {
        struct fw_exchange *x = FW_LIST_ENTRY(pos, struct fw_exchange, link);

        if (!Fw_Conn_Connected(x->conn) &&
            now_us - x->begun_us >= x->opts.connect_us) {
            fail(x, -ETIMEDOUT);
            /* The owner may have started or stopped others. */
            break;
        }
    }
}

void
Fw_Pool_Free(struct fw_pool *p)
{
    if (!p) {
        return;
    }
    while (!Fw_List_Empty(&p->running)) {
        Fw_Exchange_Stop(
            FW_LIST_ENTRY(p->running.next, struct fw_exchange, link));
    }
    g_hash_table_destroy(p->kept);
    g_free(p);
}
