/* One connection between two instances: handshake, then frames. */
#ifndef FW_IO_PEER_CONN_H
#define FW_IO_PEER_CONN_H

#include <gio/gio.h>

#include "base/list.h"
#include "core/types.h"
#include "io/peer_auth.h"

/* Longest payload of a frame. */
#define FW_FRAME_MAX_BYTES (64 * 1024)
#define FW_FRAME_CONFIG_MAX_BYTES (1024 * 1024) /* for FW_AREA_CONFIG */
#define FW_HANDSHAKE_TIMEOUT_US (5 * FW_SEC)

struct fw_peer_conn;

/**
 * struct fw_peer_conn_opts - parameters and callbacks of a connection.
 * @ctx: passed to the callbacks
 * @on_open: the handshake is complete
 * @on_frame: an authentic frame was received; a nonzero return, for a
 *            malformed payload, closes the connection
 * @on_written: all appended frames were written, @bytes in total
 * @on_closed: last callback, with a literal as reason; @conn is freed later,
 *             from the main loop
 */
struct fw_peer_conn_opts {
    const struct fw_self *self;
    GBytes *secret;
    void *ctx;
    void (*on_open)(void *ctx, struct fw_peer_conn *conn);
    int (*on_frame)(void *ctx, struct fw_peer_conn *conn, const uint8_t *data,
                    size_t len);
    void (*on_written)(void *ctx, struct fw_peer_conn *conn, size_t bytes);
    void (*on_closed)(void *ctx, struct fw_peer_conn *conn,
                      const char *reason);
};

/**
 * struct fw_peer_conn - public part of a connection.
 * @owner: for use by the owner of the connection
 * @peer: identity of the other side, authenticated once @was_open is set
 * @dialed: this instance opened the connection
 * @is_open: the handshake is complete and the connection not closed
 * @was_open: the handshake was completed
 * @link: for use by the owner
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

/* Starts to connect; returns NULL when @addr is not a valid address. */
struct fw_peer_conn *
Fw_PeerConn_Dial(const struct fw_peer_conn_opts *opts, const char *addr);
/* Starts the handshake on an accepted connection. */
struct fw_peer_conn *
Fw_PeerConn_Accept(const struct fw_peer_conn_opts *opts,
                   GSocketConnection *io);
/* Nonzero while a write is in progress; no frame may be appended then. */
int
Fw_PeerConn_IsWriting(const struct fw_peer_conn *conn);
/* Appends a frame with payload @data to the next write. */
void
Fw_PeerConn_AppendFrame(struct fw_peer_conn *conn, const uint8_t *data,
                        size_t len);
/* Starts to write the appended frames. */
void
Fw_PeerConn_Flush(struct fw_peer_conn *conn);
/*
 * Closes the connection and calls on_closed before it returns. Does nothing
 * when the connection is closed already.
 */
void
Fw_PeerConn_Close(struct fw_peer_conn *conn, const char *reason);

#endif
