/*
 * Non-blocking TCP connection on a GLib main loop, buffered in both
 * directions.
 */
#ifndef FW_HTTP_CONN_H
#define FW_HTTP_CONN_H

#include <gio/gio.h>
#include <stdint.h>

struct fw_conn;

/**
 * struct fw_conn_ops - callbacks of a connection's owner.
 * @data: data was received; Fw_Conn_Received gives all that is unconsumed
 * @closed: nothing more will be received. @err is 0 after an orderly shutdown
 *          by the peer, else a negative errno. The owner must still free the
 *          connection.
 * @flushed: the kernel has accepted all written data; may be NULL
 */
struct fw_conn_ops {
    void (*data)(void *ctx);
    void (*closed)(void *ctx, int err);
    void (*flushed)(void *ctx);
};

/* CLOCK_BOOTTIME in microseconds; advances during suspend. */
int64_t
Fw_Conn_NowUs(void);

/*
 * Wraps an accepted socket, whose reference it takes over. No callback is made
 * before the next iteration of the main loop.
 */
struct fw_conn *
Fw_Conn_Accept(GSocket *sock, const struct fw_conn_ops *ops, void *ctx);
/**
 * Fw_Conn_Open - starts to connect to @addr ("ip:port").
 *
 * Return: the connection, or NULL with a negative errno in @err.
 */
struct fw_conn *
Fw_Conn_Open(const char *addr, const struct fw_conn_ops *ops, void *ctx,
             int *err);
/* Changes the owner: further callbacks use @ops and @ctx. */
void
Fw_Conn_SetOwner(struct fw_conn *c, const struct fw_conn_ops *ops, void *ctx);
/*
 * Returns the unconsumed received data, and its length in @len. The pointer is
 * valid until data is consumed or received.
 */
const char *
Fw_Conn_Received(const struct fw_conn *c, size_t *len);
/* Discards the first @n bytes of the received data. */
void
Fw_Conn_Consume(struct fw_conn *c, size_t n);
/* Sends or buffers a copy of @data; without effect after @closed. */
void
Fw_Conn_Write(struct fw_conn *c, const void *data, size_t len);
/*
 * Has the kernel reset the connection if it is closed before Fw_Conn_Shutdown
 * has sent all data, also by the end of the process: for messages that end
 * with the connection, of which a part would look complete.
 */
void
Fw_Conn_ResetUnlessShutdown(struct fw_conn *c);
/* Bytes written that the kernel has not accepted yet. */
size_t
Fw_Conn_Unsent(const struct fw_conn *c);
/* Bytes that the kernel has accepted since the connection was opened. */
uint64_t
Fw_Conn_SentBytes(const struct fw_conn *c);
int
Fw_Conn_Connected(const struct fw_conn *c);
/*
 * Pauses reading while @on is 0: data, and the end of the connection, stay in
 * the kernel. Socket errors are still reported.
 */
void
Fw_Conn_SetReading(struct fw_conn *c, int on);
/* Shuts down the sending side after all written data; reading continues. */
void
Fw_Conn_Shutdown(struct fw_conn *c);
/*
 * Closes and frees the connection without further callbacks and discards
 * unsent data. With @reset it is closed by a RST, so that the peer notices
 * that it was aborted.
 */
void
Fw_Conn_Free(struct fw_conn *c, int reset);

#endif
