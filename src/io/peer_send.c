/* Packs outgoing messages, queues them and batches them into frames. */
#include <string.h>

#include "io/peer_priv.h"

/* Bytes of messages in one write, exceeded by at most one frame. */
#define FW_WRITE_BATCH_MAX_BYTES (256 * 1024)

/** struct fw_peer_message - a queued message. */
struct fw_peer_message {
    enum fw_area area;
    msgpack_sbuffer packed;
};

static void
free_message(struct fw_peer_message *item)
{
    msgpack_sbuffer_destroy(&item->packed);
    g_free(item);
}

static void
drop_oldest(struct fw_peer *peer)
{
    struct fw_peer_message *item = g_queue_pop_head(&peer->queue);

    peer->queued_bytes -= item->packed.size;
    peer->peers->metrics.dropped.value++;
    free_message(item);
}

void
Fw_Peer_DropQueue(struct fw_peer *peer)
{
    while (peer->queue.length > 0) {
        drop_oldest(peer);
    }
}

static size_t
message_size_max(const struct fw_peer_message *item)
{
    return item->area == FW_AREA_CONFIG ? FW_FRAME_CONFIG_MAX_BYTES
                                        : FW_FRAME_MAX_BYTES;
}

/* Moves messages into a frame: at least one, and as many as fit. */
static void
append_frame(struct fw_peer *peer)
{
    GByteArray *frame = g_byte_array_new();
    struct fw_peer_message *item;

    do {
        item = g_queue_pop_head(&peer->queue);
        peer->queued_bytes -= item->packed.size;
        peer->peers->metrics.messages_out.value++;
        g_byte_array_append(frame, (const guint8 *)item->packed.data,
                            (guint)item->packed.size);
        free_message(item);
        item = g_queue_peek_head(&peer->queue);
    } while (item && frame->len + item->packed.size <= FW_FRAME_MAX_BYTES);
    Fw_PeerConn_AppendFrame(peer->conn, frame->data, frame->len);
    g_byte_array_unref(frame);
}

void
Fw_Peer_Flush(struct fw_peer *peer)
{
    size_t before = peer->queued_bytes;

    if (!peer->conn || !peer->conn->is_open ||
        Fw_PeerConn_IsWriting(peer->conn)) {
        return;
    }
    while (peer->queue.length > 0 &&
           before - peer->queued_bytes < FW_WRITE_BATCH_MAX_BYTES) {
        append_frame(peer);
    }
    Fw_PeerConn_Flush(peer->conn);
}

static gboolean
on_flush(gpointer data)
{
    struct fw_peer *peer = data;

    peer->flush_source = 0;
    Fw_Peer_Flush(peer);
    return G_SOURCE_REMOVE;
}

/*
 * Dials the peer unless it has a connection or is in backoff. Returns nonzero
 * when a connection is open or in progress.
 */
static int
connect_peer(struct fw_peer *peer, const char *addr)
{
    struct fw_peers *p = peer->peers;
    struct fw_peer_conn_opts opts = Fw_Peers_ConnOpts(p);

    if (peer->conn && peer->conn->dialed && strcmp(peer->addr, addr) != 0) {
        Fw_PeerConn_Close(peer->conn,
                          "replaced: the peer's address has changed");
        peer->retry_us = 0;
    }
    if (peer->conn) {
        return 1;
    }
    if (g_get_monotonic_time() < peer->retry_us) {
        return 0;
    }
    g_strlcpy(peer->addr, addr, sizeof(peer->addr));
    peer->conn = Fw_PeerConn_Dial(&opts, addr);
    if (!peer->conn) {
        return 0;
    }
    peer->conn->owner = peer;
    Fw_List_Append(&p->conns, &peer->conn->link);
    return 1;
}

static struct fw_peer_message *
pack_message(const struct fw_msg *msg)
{
    struct fw_peer_message *item = g_new0(struct fw_peer_message, 1);
    msgpack_packer pk;

    item->area = msg->area;
    msgpack_sbuffer_init(&item->packed);
    msgpack_packer_init(&pk, &item->packed, msgpack_sbuffer_write);
    Fw_Msg_Pack(&pk, msg);
    return item;
}

void
Fw_Peers_Send(struct fw_peers *p, const struct fw_peer_send *send)
{
    struct fw_peer *peer = Fw_Peers_FindOrAdd(p, send->to);
    struct fw_peer_message *item;

    if (!connect_peer(peer, send->addr)) {
        p->metrics.dropped.value++;
        return;
    }
    item = pack_message(&send->msg);
    if (item->packed.size > message_size_max(item)) {
        p->metrics.dropped.value++;
        free_message(item);
        return;
    }
    /*
     * Bounds the queue of a peer that reads slowly. The oldest messages are
     * dropped, since newer ones supersede them.
     */
    while (peer->queue.length > 0 &&
           peer->queued_bytes + item->packed.size > FW_PEER_QUEUE_MAX_BYTES) {
        drop_oldest(peer);
    }
    g_queue_push_tail(&peer->queue, item);
    peer->queued_bytes += item->packed.size;
    if (!peer->flush_source) {
        peer->flush_source =
            g_idle_add_full(G_PRIORITY_DEFAULT, on_flush, peer, NULL);
    }
}
