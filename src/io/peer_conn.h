/* One connection between two instances: handshake, then frames. */
#ifndef FW_IO_PEER_CONN_H
#define FW_IO_PEER_CONN_H

#include <gio/gio.h>

#include "base/list.h"
#include "core/types.h"
#include "io/peer_auth.h"

#define FW_FRAME_MAX_BYTES (64 * 1024)
#define FW_FRAME_CONFIG_MAX_BYTES                                             \
    (1024 * 1024) /* one message of FW_AREA_CONFIG */
#define FW_HANDSHAKE_TIMEOUT_US (5 * FW_SEC)

struct fw_peer_conn;

/**
 * struct fw_peer_conn_opts - whom it tells.
 * @on_open: the other side is proven
 * @on_frame: one authentic frame; nonzero when it is not well formed
 * @on_written: all that was given has left
 * @on_closed: last callback; @why is a literal. Nothing must be sent any more
 */
struct fw_peer_conn_opts {
    const struct fw_self *self;
    GBytes *secret;
    void *ctx;
    void (*on_open)(void *ctx, struct fw_peer_conn *conn);
    int (*on_frame)(void *ctx, struct fw_peer_conn *conn, const uint8_t *data,
                    size_t len);
    void (*on_written)(void *ctx, struct fw_peer_conn *conn, size_t bytes);
    void (*on_closed)(void *ctx, struct fw_peer_conn *conn, const char *why);
};

/**
 * struct fw_peer_conn - public part.
 * @owner: free for the user
 * @peer: proven once @is_open; before, what the other side claims
 * @is_open: proven and not closed; @was_open: was ever proven
 */
struct fw_peer_conn {
    void *owner;
    struct fw_peer_id peer;
    int dialed;
    int is_open;
    int was_open;
    struct fw_list link;
    struct fw_peer_conn_private *priv;
};

/* A connection to @addr that is yet to be made; NULL when it is no address. */
struct fw_peer_conn *
Fw_PeerConn_Dial(const struct fw_peer_conn_opts *opts, const char *addr);
struct fw_peer_conn *
Fw_PeerConn_Accept(const struct fw_peer_conn_opts *opts,
                   GSocketConnection *io);
/* Nonzero while a write is under way: then nothing may be given. */
int
Fw_PeerConn_IsWriting(const struct fw_peer_conn *conn);
/* Sends frames, each as its payload; call Fw_PeerConn_Flush after the last. */
void
Fw_PeerConn_AppendFrame(struct fw_peer_conn *conn, const uint8_t *data,
                        size_t len);
void
Fw_PeerConn_Flush(struct fw_peer_conn *conn);
/* The closed callback is made at once, unless it was made before. */
void
Fw_PeerConn_Close(struct fw_peer_conn *conn, const char *why);

#endif
