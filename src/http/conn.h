/*
 * Non-blocking TCP connection on a GLib main loop, buffered in both
 * directions.
 */
#ifndef FW_HTTP_CONN_H
#define FW_HTTP_CONN_H

#include <gio/gio.h>
#include <stdint.h>

#include "held/held.h"
#include "http/sent_tags.h"

struct fw_conn;

/**
 * struct fw_conn_ops - callbacks of a connection's owner.
 * @data: data was received; Fw_Conn_Received gives all that is unconsumed
 * @closed: nothing more will be received. @err is 0 after an orderly shutdown
 *          by the peer, else a negative errno. The owner must still free the
 *          connection.
 * @flushed: the kernel has accepted all written data; may be NULL
 * @progress: the kernel has accepted a part of it; may be NULL
 */
struct fw_conn_ops {
    void (*data)(void *ctx);
    void (*closed)(void *ctx, int err);
    void (*flushed)(void *ctx);
    void (*progress)(void *ctx);
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
/*
 * Charges the connection's buffers to @held, data not yet sent as @out_kind;
 * without effect if @held is NULL. Reading then pauses while the connection
 * may hold no more.
 */
void
Fw_Conn_SetHeld(struct fw_conn *c, struct fw_held *held,
                enum fw_held_kind out_kind);
/* Its account, valid as long as the connection; NULL without a budget. */
struct fw_held_account *
Fw_Conn_Account(const struct fw_conn *c);
/*
 * While @on is set, reading does not pause for the budget: what is read is
 * dropped, has been charged already, or is needed by this instance itself.
 */
void
Fw_Conn_SetPrepaid(struct fw_conn *c, int on);
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
/* Like Fw_Conn_Write, but takes a reference instead of copying. */
void
Fw_Conn_WriteBytes(struct fw_conn *c, GBytes *data);
/*
 * Has the kernel reset the connection if it is closed before Fw_Conn_Shutdown
 * has sent all data, also by the end of the process: for messages that end
 * with the connection, of which a part would look complete.
 */
void
Fw_Conn_ResetUnlessShutdown(struct fw_conn *c);
/* The requests that the connection has carried, kept by its owners. */
struct fw_sent_tags *
Fw_Conn_SentTags(struct fw_conn *c);
/* Bytes written that the kernel has not accepted yet. */
size_t
Fw_Conn_Unsent(const struct fw_conn *c);
/* Bytes that the kernel has accepted since the connection was opened. */
uint64_t
Fw_Conn_SentBytes(const struct fw_conn *c);
int
Fw_Conn_Connected(const struct fw_conn *c);
/* Whether all that the peer sent before it closed has been consumed. */
int
Fw_Conn_IsAtEnd(const struct fw_conn *c);
/* Whether nothing waits to be read and the peer has not closed. */
int
Fw_Conn_IsQuiet(const struct fw_conn *c);
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
