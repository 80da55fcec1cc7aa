/* Shared by peer.c, peer_send.c and peer_receive.c only. */
#ifndef FW_IO_PEER_PRIV_H
#define FW_IO_PEER_PRIV_H

#include "io/peer.h"
#include "io/peer_conn.h"

/** struct fw_peer_metrics - what the wire costs. */
struct fw_peer_metrics {
    struct fw_metric messages_in;
    struct fw_metric messages_out;
    struct fw_metric bytes_in;
    struct fw_metric bytes_out;
    struct fw_metric dropped;
    struct fw_metric rejected;
    struct fw_metric open_connections;
};

/**
 * struct fw_peers - all connections of this instance.
 * @by_name: name -> struct fw_peer
 * @conns: all connections, dialed and accepted
 * @unauthenticated: accepted and not yet proven
 */
struct fw_peers {
    struct fw_sink sink;
    struct fw_self self;
    GBytes *secret;
    GSocketService *service;
    GHashTable *by_name;
    struct fw_list conns;
    int unauthenticated;
    int closing;
    struct fw_peer_metrics metrics;
};

/**
 * struct fw_peer - another instance, as far as it was sent to or heard of.
 * @conn: the connection that messages to it take; may not be open yet
 * @queue: packed messages (struct fw_peer_message) not yet written
 * @retry_us: no dialing before
 * @backoff_us: the next wait after a failure
 */
struct fw_peer {
    struct fw_peers *peers;
    char name[FW_NAME_MAX];
    char addr[FW_URL_MAX];
    struct fw_peer_conn *conn;
    GQueue queue;
    size_t queued_bytes;
    guint flush_source;
    int64_t retry_us;
    int64_t backoff_us;
};

struct fw_peer *
Fw_Peers_FindOrAdd(struct fw_peers *p, const char *name);
struct fw_peer_conn_opts
Fw_Peers_ConnOpts(struct fw_peers *p);
/* Writes what is queued, when the connection is free. */
void
Fw_Peer_Flush(struct fw_peer *peer);
void
Fw_Peer_DropQueue(struct fw_peer *peer);
/* Gives the messages of a frame to the core. */
int
Fw_Peers_ReceiveFrame(struct fw_peers *p, const struct fw_peer_conn *conn,
                      const uint8_t *data, size_t len);

#endif
