/* Internal to peer.c, peer_send.c and peer_receive.c. */
#ifndef FW_IO_PEER_PRIV_H
#define FW_IO_PEER_PRIV_H

#include "io/peer.h"
#include "io/peer_conn.h"

/**
 * struct fw_peer_metrics - metrics of all connections.
 * @bytes_in, @bytes_out: with lengths and MACs
 * @dropped: messages not sent
 * @rejected: connections closed for failed authentication or invalid data
 */
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
 * @unauthenticated: number of accepted connections in their handshake
 * @closing: set while Fw_Peers_Free closes the connections
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
 * struct fw_peer - another instance that was sent to or has connected.
 * @addr: address last dialed
 * @conn: connection to send on, or NULL; may be in its handshake
 * @queue: unsent messages (struct fw_peer_message)
 * @queued_bytes: total size of @queue
 * @flush_source: GLib source that writes the queue, or 0
 * @retry_us: monotonic time before which the peer is not dialed
 * @backoff_us: delay used after the last failure
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

/* Returns the record for @name, creating it if necessary. */
struct fw_peer *
Fw_Peers_FindOrAdd(struct fw_peers *p, const char *name);
struct fw_peer_conn_opts
Fw_Peers_ConnOpts(struct fw_peers *p);
/* Starts to write queued messages if the connection is open and idle. */
void
Fw_Peer_Flush(struct fw_peer *peer);
/* Drops all queued messages and counts them. */
void
Fw_Peer_DropQueue(struct fw_peer *peer);
/* Passes the messages of an authentic frame to the core; 0 or -EBADMSG. */
int
Fw_Peers_ReceiveFrame(struct fw_peers *p, const struct fw_peer_conn *conn,
                      const uint8_t *data, size_t len);

#endif
