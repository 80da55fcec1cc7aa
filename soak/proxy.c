#include "soak/proxy.h"

#include "base/limits.h"
#include "base/list.h"
#include "http/conn.h"

#define FW_DELAY_US (60 * FW_MSEC)
#define FW_FLUSH_INTERVAL_MS 5
#define FW_BACKLOG 128
/* Larger answers are not sent twice. */
#define FW_COPY_MAX_BYTES (16 * 1024)

enum side {
    FW_CALLER_SIDE,
    FW_TARGET_SIDE,
    FW_SIDES,
};

/** struct chunk - delayed data. */
struct chunk {
    int64_t due_us;
    GBytes *data;
};

/**
 * struct pair - a connection through the proxy.
 * @ends: context of each connection's callbacks
 * @delayed: data from each side, of struct chunk
 * @answer: data from the target since the last request, if it isn't too large
 */
struct pair {
    struct fw_list link;
    struct fw_proxy *proxy;
    struct end {
        struct pair *pair;
        enum side side;
    } ends[FW_SIDES];
    struct fw_conn *conns[FW_SIDES];
    GQueue delayed[FW_SIDES];
    GByteArray *answer;
};

struct fw_proxy {
    GSocket *listener; /* NULL while it refuses connections */
    GSource *source;
    int port;
    char target[FW_URL_MAX];
    enum fw_proxy_mode mode;
    int copies_one_of;
    int n_answers;
    struct fw_list pairs;
    guint flush_timer;
};

static void
chunk_free(gpointer data)
{
    struct chunk *c = data;

    g_bytes_unref(c->data);
    g_free(c);
}

static void
pair_free(struct pair *p, int reset)
{
    Fw_List_Remove(&p->link);
    for (int i = 0; i < FW_SIDES; i++) {
        Fw_Conn_Free(p->conns[i], reset);
        g_queue_clear_full(&p->delayed[i], chunk_free);
    }
    g_byte_array_unref(p->answer);
    g_free(p);
}

static int
is_held(const struct fw_proxy *p, enum side from)
{
    return p->mode == FW_PROXY_SILENT ||
           (p->mode == FW_PROXY_ONE_WAY && from == FW_TARGET_SIDE);
}

/* The caller's side has sent a request: the answer before it is whole. */
static void
copy_answer(struct pair *p)
{
    struct fw_proxy *proxy = p->proxy;

    if (p->answer->len && p->answer->len <= FW_COPY_MAX_BYTES &&
        proxy->copies_one_of && proxy->mode == FW_PROXY_PASS &&
        ++proxy->n_answers % proxy->copies_one_of == 0) {
        Fw_Conn_Write(p->conns[FW_CALLER_SIDE], p->answer->data,
                      p->answer->len);
    }
    g_byte_array_set_size(p->answer, 0);
}

static void
keep_answer(struct pair *p, const char *data, size_t len)
{
    if (p->answer->len <= FW_COPY_MAX_BYTES) {
        g_byte_array_append(p->answer, (const guint8 *)data, (guint)len);
    }
}

static void
on_data(void *ctx)
{
    struct end *e = ctx;
    struct pair *p = e->pair;
    size_t len;
    const char *data = Fw_Conn_Received(p->conns[e->side], &len);
    int delayed = p->proxy->mode == FW_PROXY_DELAY ||
                  !g_queue_is_empty(&p->delayed[e->side]);

    if (is_held(p->proxy, e->side) || !len) {
        return;
    }
    if (e->side == FW_CALLER_SIDE) {
        copy_answer(p);
    }
    else {
        keep_answer(p, data, len);
    }
    if (delayed) {
        struct chunk *c = g_new0(struct chunk, 1);

        c->due_us = Fw_Conn_NowUs() + FW_DELAY_US;
        c->data = g_bytes_new(data, len);
        g_queue_push_tail(&p->delayed[e->side], c);
    }
    else {
        Fw_Conn_Write(p->conns[!e->side], data, len);
    }
    Fw_Conn_Consume(p->conns[e->side], len);
}

static void
flush_delayed(struct pair *p, enum side from, int64_t now_us)
{
    struct chunk *c;

    while ((c = g_queue_peek_head(&p->delayed[from])) && c->due_us <= now_us) {
        gsize len;
        const void *data = g_bytes_get_data(c->data, &len);

        Fw_Conn_Write(p->conns[!from], data, len);
        chunk_free(g_queue_pop_head(&p->delayed[from]));
    }
}

/*
 * What was received before the end is passed on first. A connection whose data
 * is held back is reset, as TCP delivers no end before the data.
 */
static void
on_closed(void *ctx, int err)
{
    struct end *e = ctx;
    struct pair *p = e->pair;
    int is_lost = err || is_held(p->proxy, e->side);

    if (!is_lost) {
        on_data(ctx);
        flush_delayed(p, e->side, INT64_MAX);
    }
    pair_free(p, is_lost);
}

static const struct fw_conn_ops ops = {.data = on_data, .closed = on_closed};

static gboolean
flush_all(gpointer data)
{
    struct fw_proxy *p = data;
    int64_t now = Fw_Conn_NowUs();
    struct fw_list *pos;

    FW_LIST_EACH (pos, &p->pairs) {
        struct pair *pair = FW_LIST_ENTRY(pos, struct pair, link);

        flush_delayed(pair, FW_CALLER_SIDE, now);
        flush_delayed(pair, FW_TARGET_SIDE, now);
    }
    return G_SOURCE_CONTINUE;
}

static void
add_pair(struct fw_proxy *proxy, GSocket *sock)
{
    struct pair *p = g_new0(struct pair, 1);
    int err;

    p->proxy = proxy;
    p->answer = g_byte_array_new();
    for (int i = 0; i < FW_SIDES; i++) {
        p->ends[i] = (struct end){.pair = p, .side = (enum side)i};
        g_queue_init(&p->delayed[i]);
    }
    p->conns[FW_CALLER_SIDE] =
        Fw_Conn_Accept(sock, &ops, &p->ends[FW_CALLER_SIDE]);
    p->conns[FW_TARGET_SIDE] =
        Fw_Conn_Open(proxy->target, &ops, &p->ends[FW_TARGET_SIDE], &err);
    if (!p->conns[FW_TARGET_SIDE]) {
        Fw_Conn_Free(p->conns[FW_CALLER_SIDE], 1);
        g_byte_array_unref(p->answer);
        g_free(p);
        return;
    }
    Fw_List_Append(&proxy->pairs, &p->link);
}

static gboolean
on_connection(GSocket *listener, GIOCondition cond, gpointer data)
{
    GSocket *sock;

    (void)cond;
    while ((sock = g_socket_accept(listener, NULL, NULL))) {
        add_pair(data, sock);
    }
    return G_SOURCE_CONTINUE;
}

static int
bound_port(GSocket *listener)
{
    GSocketAddress *at = g_socket_get_local_address(listener, NULL);
    int port = g_inet_socket_address_get_port(G_INET_SOCKET_ADDRESS(at));

    g_object_unref(at);
    return port;
}

/* Listens on @port, 0 for a free one. */
static void
start_listening(struct fw_proxy *p, int port)
{
    GSocketAddress *addr =
        g_inet_socket_address_new_from_string("127.0.0.1", (guint)port);

    p->listener = g_socket_new(G_SOCKET_FAMILY_IPV4, G_SOCKET_TYPE_STREAM,
                               G_SOCKET_PROTOCOL_TCP, NULL);
    g_socket_set_blocking(p->listener, FALSE);
    g_socket_set_listen_backlog(p->listener, FW_BACKLOG);
    if (!g_socket_bind(p->listener, addr, TRUE, NULL) ||
        !g_socket_listen(p->listener, NULL)) {
        g_error("cannot listen on port %d of 127.0.0.1", port);
    }
    g_object_unref(addr);
    p->port = bound_port(p->listener);
    p->source = g_socket_create_source(p->listener, G_IO_IN, NULL);
    g_source_set_callback(p->source, G_SOURCE_FUNC(on_connection), p, NULL);
    g_source_attach(p->source, NULL);
}

static void
stop_listening(struct fw_proxy *p)
{
    g_source_destroy(p->source);
    g_source_unref(p->source);
    g_socket_close(p->listener, NULL);
    g_clear_object(&p->listener);
}

struct fw_proxy *
Fw_Proxy_New(const char *target)
{
    struct fw_proxy *p = g_new0(struct fw_proxy, 1);

    Fw_List_Init(&p->pairs);
    Fw_Proxy_SetTarget(p, target);
    start_listening(p, 0);
    p->flush_timer = g_timeout_add(FW_FLUSH_INTERVAL_MS, flush_all, p);
    return p;
}

void
Fw_Proxy_Free(struct fw_proxy *p)
{
    Fw_Proxy_ResetAll(p);
    g_source_remove(p->flush_timer);
    if (p->listener) {
        stop_listening(p);
    }
    g_free(p);
}

int
Fw_Proxy_Port(const struct fw_proxy *p)
{
    return p->port;
}

void
Fw_Proxy_SetTarget(struct fw_proxy *p, const char *target)
{
    g_strlcpy(p->target, target, sizeof(p->target));
}

void
Fw_Proxy_SetMode(struct fw_proxy *p, enum fw_proxy_mode mode)
{
    struct fw_list *pos;

    if (mode == FW_PROXY_REFUSE && p->listener) {
        stop_listening(p);
    }
    else if (mode != FW_PROXY_REFUSE && !p->listener) {
        start_listening(p, p->port);
    }
    p->mode = mode;
    FW_LIST_EACH (pos, &p->pairs) {
        struct pair *pair = FW_LIST_ENTRY(pos, struct pair, link);

        on_data(&pair->ends[FW_CALLER_SIDE]);
        on_data(&pair->ends[FW_TARGET_SIDE]);
    }
}

void
Fw_Proxy_SetCopies(struct fw_proxy *p, int one_of)
{
    p->copies_one_of = one_of;
}

void
Fw_Proxy_ResetAll(struct fw_proxy *p)
{
    while (!Fw_List_Empty(&p->pairs)) {
        pair_free(FW_LIST_ENTRY(p->pairs.next, struct pair, link), 1);
    }
}
