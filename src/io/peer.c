/* Peers: listening, and the life cycle of connections. */
#include <errno.h>
#include <string.h>

#include "io/addr.h"
#include "io/logger.h"
#include "io/peer_priv.h"

#define FW_RECONNECT_BACKOFF_MIN_US (100 * FW_MSEC)
#define FW_RECONNECT_BACKOFF_MAX_US (2 * FW_SEC)
#define FW_PEERS_EVICTION_THRESHOLD 1024

static void
free_peer(gpointer data)
{
    struct fw_peer *peer = data;

    Fw_Peer_DropQueue(peer);
    if (peer->flush_source) {
        g_source_remove(peer->flush_source);
    }
    g_free(peer);
}

struct fw_peers *
Fw_Peers_New(const struct fw_sink *sink, const struct fw_self *self,
             GBytes *secret)
{
    struct fw_peers *p = g_new0(struct fw_peers, 1);

    p->sink = *sink;
    p->self = *self;
    p->secret = g_bytes_ref(secret);
    p->by_name =
        g_hash_table_new_full(g_str_hash, g_str_equal, NULL, free_peer);
    Fw_List_Init(&p->conns);
    return p;
}

static void
add_metric(struct fw_metrics *all, struct fw_metric *m, const char *name,
           const char *help)
{
    m->name = name;
    m->help = help;
    Fw_Metrics_Add(all, m);
}

void
Fw_Peers_AddMetrics(struct fw_peers *p, struct fw_metrics *all)
{
    struct fw_peer_metrics *c = &p->metrics;

    add_metric(all, &c->messages_in, "fw_peer_messages_in_total",
               "Messages from peers");
    add_metric(all, &c->messages_out, "fw_peer_messages_out_total",
               "Messages written to peers");
    add_metric(all, &c->bytes_in, "fw_peer_bytes_in_total",
               "Bytes from peers, frames with length and HMAC");
    add_metric(all, &c->bytes_out, "fw_peer_bytes_out_total",
               "Bytes written to peers, frames with length and HMAC");
    add_metric(all, &c->dropped, "fw_peer_dropped_total",
               "Messages to peers that were dropped");
    add_metric(
        all, &c->rejected, "fw_peer_refused_total",
        "Connections that did not prove the secret or broke the protocol");
    add_metric(all, &c->open_connections, "fw_peer_connections",
               "Proven connections to peers");
    c->open_connections.is_gauge = 1;
}

static gboolean
is_evictable(gpointer name, gpointer value, gpointer data)
{
    const struct fw_peer *peer = value;
    const int64_t *now = data;

    (void)name;
    return !peer->conn && peer->retry_us < *now;
}

/* Prevents records of replaced instances from accumulating. */
static void
evict_unused(struct fw_peers *p)
{
    int64_t now = g_get_monotonic_time();

    if (g_hash_table_size(p->by_name) >= FW_PEERS_EVICTION_THRESHOLD) {
        g_hash_table_foreach_remove(p->by_name, is_evictable, &now);
    }
}

struct fw_peer *
Fw_Peers_FindOrAdd(struct fw_peers *p, const char *name)
{
    struct fw_peer *peer = g_hash_table_lookup(p->by_name, name);

    if (!peer) {
        evict_unused(p);
        peer = g_new0(struct fw_peer, 1);
        peer->peers = p;
        g_strlcpy(peer->name, name, sizeof(peer->name));
        g_queue_init(&peer->queue);
        g_hash_table_insert(p->by_name, peer->name, peer);
    }
    return peer;
}

/*
 * Makes @conn the connection of @peer, unless the present one is open and of
 * the same or a later process.
 */
static void
adopt_connection(struct fw_peer *peer, struct fw_peer_conn *conn)
{
    struct fw_peer_conn *old = peer->conn;

    if (old == conn) {
        return;
    }
    if (old && old->is_open && old->peer.boot >= conn->peer.boot) {
        return;
    }
    peer->conn = conn;
    if (old) {
        old->owner = NULL;
        Fw_PeerConn_Close(old, "replaced by a newer connection");
    }
    conn->owner = peer;
}

static void
on_open(void *ctx, struct fw_peer_conn *conn)
{
    struct fw_peers *p = ctx;
    struct fw_peer *peer = conn->owner;

    if (!conn->dialed) {
        p->unauthenticated--;
    }
    p->metrics.open_connections.value++;
    if (peer && strcmp(peer->name, conn->peer.name) != 0) {
        Fw_PeerConn_Close(conn, "unexpected instance at this address");
        return;
    }
    peer = Fw_Peers_FindOrAdd(p, conn->peer.name);
    adopt_connection(peer, conn);
    peer->backoff_us = 0;
    peer->retry_us = 0;
    Fw_Peer_Flush(peer);
}

static int
on_frame(void *ctx, struct fw_peer_conn *conn, const uint8_t *data, size_t len)
{
    return Fw_Peers_ReceiveFrame(ctx, conn, data, len);
}

static void
on_written(void *ctx, struct fw_peer_conn *conn, size_t bytes)
{
    struct fw_peers *p = ctx;

    p->metrics.bytes_out.value += (int64_t)bytes;
    if (conn->owner) {
        Fw_Peer_Flush(conn->owner);
    }
}

/* Uses jitter, so that instances don't reconnect to a peer all at once. */
static void
schedule_reconnect(struct fw_peer *peer)
{
    int64_t wait = CLAMP(peer->backoff_us * 2, FW_RECONNECT_BACKOFF_MIN_US,
                         FW_RECONNECT_BACKOFF_MAX_US);

    peer->backoff_us = wait;
    peer->retry_us = g_get_monotonic_time() + wait / 2 +
                     g_random_int_range(0, (gint32)(wait / 2));
}

/*
 * Counts and logs a close unless it is routine: a network error, replacement
 * or shutdown of a dialed or authenticated connection.
 */
static void
log_unexpected_close(struct fw_peers *p, const struct fw_peer_conn *conn,
                     int was_open, const char *reason)
{
    int routine = g_str_has_prefix(reason, "closed") ||
                  g_str_has_prefix(reason, "read failed") ||
                  g_str_has_prefix(reason, "write failed") ||
                  g_str_has_prefix(reason, "replaced") ||
                  g_str_has_prefix(reason, "stopping") ||
                  g_str_has_prefix(reason, "connect failed");

    if (routine && (was_open || conn->dialed)) {
        return;
    }
    p->metrics.rejected.value++;
    Fw_Logger_Log(LOG_WARNING, "peer_refused", "peer", conn->peer.name,
                  "reason", reason, NULL);
}

static void
on_closed(void *ctx, struct fw_peer_conn *conn, const char *reason)
{
    struct fw_peers *p = ctx;
    struct fw_peer *peer = conn->owner;
    int was_open = conn->was_open;

    Fw_List_Remove(&conn->link);
    if (was_open) {
        p->metrics.open_connections.value--;
    }
    else if (!conn->dialed) {
        p->unauthenticated--;
    }
    if (peer && peer->conn == conn) {
        peer->conn = NULL;
        conn->owner = NULL;
        Fw_Peer_DropQueue(peer);
        if (conn->dialed && !was_open) {
            schedule_reconnect(peer);
        }
    }
    if (!p->closing) {
        log_unexpected_close(p, conn, was_open, reason);
    }
}

struct fw_peer_conn_opts
Fw_Peers_ConnOpts(struct fw_peers *p)
{
    return (struct fw_peer_conn_opts){
        .self = &p->self,
        .secret = p->secret,
        .ctx = p,
        .on_open = on_open,
        .on_frame = on_frame,
        .on_written = on_written,
        .on_closed = on_closed,
    };
}

/* Limits unauthenticated connections, so they can't exhaust descriptors. */
static gboolean
on_incoming(GSocketService *service, GSocketConnection *io, GObject *source,
            gpointer data)
{
    struct fw_peers *p = data;
    struct fw_peer_conn_opts opts = Fw_Peers_ConnOpts(p);
    struct fw_peer_conn *conn;

    (void)service;
    (void)source;
    if (p->unauthenticated >= FW_PEER_UNAUTHENTICATED_MAX) {
        p->metrics.rejected.value++;
        return TRUE;
    }
    p->unauthenticated++;
    conn = Fw_PeerConn_Accept(&opts, io);
    Fw_List_Append(&p->conns, &conn->link);
    return TRUE;
}

int
Fw_Peers_Listen(struct fw_peers *p, const char *addr, char *bound)
{
    GSocketAddress *address = Fw_Addr_Parse(addr);
    GSocketAddress *bound_address = NULL;
    int ok;

    if (!address) {
        return -EINVAL;
    }
    p->service = g_socket_service_new();
    ok = g_socket_listener_add_address(
        G_SOCKET_LISTENER(p->service), address, G_SOCKET_TYPE_STREAM,
        G_SOCKET_PROTOCOL_TCP, NULL, &bound_address, NULL);
    g_object_unref(address);
    if (!ok) {
        return -EADDRINUSE;
    }
    Fw_Addr_Print(bound_address, bound);
    g_object_unref(bound_address);
    g_signal_connect(p->service, "incoming", G_CALLBACK(on_incoming), p);
    g_socket_service_start(p->service);
    return 0;
}

void
Fw_Peers_Free(struct fw_peers *p)
{
    struct fw_list *pos;
    struct fw_list *tmp;

    p->closing = 1;
    if (p->service) {
        g_signal_handlers_disconnect_by_data(p->service, p);
        g_socket_service_stop(p->service);
        g_socket_listener_close(G_SOCKET_LISTENER(p->service));
        g_object_unref(p->service);
    }
    FW_LIST_EACH_SAFE (pos, tmp, &p->conns) {
        Fw_PeerConn_Close(FW_LIST_ENTRY(pos, struct fw_peer_conn, link),
                          "stopping");
    }
    g_hash_table_unref(p->by_name);
    g_bytes_unref(p->secret);
    g_free(p);
}
