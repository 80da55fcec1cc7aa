/*
 * A TCP connection in a GLib loop: buffered both ways, never blocking.
 */
#ifndef FW_HTTP_CONN_H
#define FW_HTTP_CONN_H

#include <gio/gio.h>
#include <stdint.h>

struct fw_conn;

/**
 * struct fw_conn_ops - what its owner hears.
 * @data: bytes came; @Fw_Conn_In has all that wasn't consumed yet
 * @closed: no more will come: 0 for an orderly end, else a negative errno
 * @drained: all that was written is with the kernel
 */
struct fw_conn_ops {
    void (*data)(void *ctx);
    void (*closed)(void *ctx, int err);
    void (*drained)(void *ctx);
};

/* The time on a clock that counts suspension too, microseconds. */
int64_t
Fw_Conn_Now(void);

/* @sock is taken over; callbacks begin with the loop's next turn. */
struct fw_conn *
Fw_Conn_Accept(GSocket *sock, const struct fw_conn_ops *ops, void *ctx);
/**
 * Fw_Conn_Open - begins to connect to @addr ("ip:port").
 *
 * Return: the connection, or NULL with a negative errno in @err.
 */
struct fw_conn *
Fw_Conn_Open(const char *addr, const struct fw_conn_ops *ops, void *ctx,
             int *err);
/* Hands the connection to another owner. */
void
Fw_Conn_SetOwner(struct fw_conn *c, const struct fw_conn_ops *ops, void *ctx);
/* Bytes received and not consumed. */
const char *
Fw_Conn_In(const struct fw_conn *c, size_t *len);
void
Fw_Conn_Consume(struct fw_conn *c, size_t n);
void
Fw_Conn_Write(struct fw_conn *c, const void *data, size_t len);
/* Bytes written and not yet with the kernel. */
size_t
Fw_Conn_Pending(const struct fw_conn *c);
/* Bytes that the kernel has taken since the connection was opened. */
uint64_t
Fw_Conn_Sent(const struct fw_conn *c);
int
Fw_Conn_Connected(const struct fw_conn *c);
/* While @on is 0 what comes stays in the kernel, the end included. */
void
Fw_Conn_SetReading(struct fw_conn *c, int on);
/* Ends the sending side once all is written; reading goes on. */
void
Fw_Conn_Shutdown(struct fw_conn *c);
/* Closes at once; no callback follows. @reset: so that the peer sees it. */
void
Fw_Conn_Free(struct fw_conn *c, int reset);

#endif
