/*
 * HTTP/1 server for callers (API clients), with one request at a time per
 * connection.
 *
 * A request is delivered only after its body was received completely, so an
 * interrupted request has certainly not been processed.
 */
#ifndef FW_HTTP_SERVER_H
#define FW_HTTP_SERVER_H

#include <glib.h>

#include "base/metrics.h"
#include "held/held.h"
#include "http/head.h"

/* Why a request is rejected with 503 when it can't be held. */
#define FW_HTTP_NO_MEMORY "no memory for the request"

struct fw_http_server;
/** struct fw_http_caller - connection of a caller, and its request. */
struct fw_http_caller;

/**
 * struct fw_http_limits - sizes and timeouts of requests.
 * @header_bytes: largest head of a request
 * @body_bytes: largest body of a request
 * @buffered_bytes: memory for the bodies of all requests
 * @head_timeout_us: from the first byte of a head to its last
 * @body_idle_timeout_us: between two reads of a body
 * @request_timeout_us: from the first byte of a request to its last, 0 for no
 *                      limit
 * @keep_alive_timeout_us: until the first byte of the next request
 * @write_stall_timeout_us: without progress in sending a response that is
 *                          complete, 0 for no limit
 */
struct fw_http_limits {
    size_t header_bytes;
    size_t body_bytes;
    size_t buffered_bytes;
    int64_t head_timeout_us;
    int64_t body_idle_timeout_us;
    int64_t request_timeout_us;
    int64_t keep_alive_timeout_us;
    int64_t write_stall_timeout_us;
};

/**
 * struct fw_http_ops - callbacks of a server.
 * @request: a complete request. @head and @body stay valid until the response
 *           ends or @disconnected is called.
 * @disconnected: the connection was lost before the response ended; @c is
 *                invalid afterwards. May be NULL when @request always responds
 *                before it returns.
 * @rejected: a request that exceeded a limit or violated the protocol was
 *            answered with @status and not delivered
 */
struct fw_http_ops {
    void (*request)(void *ctx, struct fw_http_caller *c,
                    const struct fw_http_head *head, GBytes *body);
    void (*disconnected)(void *ctx, struct fw_http_caller *c);
    void (*rejected)(void *ctx, int status, const char *why);
    /*
     * Writes the response to a rejected request into @fields and @body;
     * @head is empty when it was not parsed. NULL for a text/plain response
     * with @why.
     */
    void (*format_rejection)(void *ctx, const struct fw_http_head *head,
                             int status, const char *why, GString *fields,
                             GString *body);
    /* The kernel has accepted all data written to @c; may be NULL. */
    void (*flushed)(void *ctx, struct fw_http_caller *c);
    /* The kernel has accepted a part of it; may be NULL. */
    void (*progress)(void *ctx, struct fw_http_caller *c);
};

/**
 * Fw_Server_New - listens on @addr ("ip:port", port 0 for any).
 *
 * Return: the server, or NULL with a negative errno in @err.
 */
struct fw_http_server *
Fw_Server_New(const char *addr, const struct fw_http_ops *ops, void *ctx,
              int *err);
void
Fw_Server_Free(struct fw_http_server *s);
void
Fw_Server_SetLimits(struct fw_http_server *s, const struct fw_http_limits *l);
/*
 * Charges what the connections hold to @held, which must outlive them. If
 * @is_bounded is set, requests that can't be held are rejected: with 413 if
 * they never can be, else with 503.
 */
void
Fw_Server_SetHeld(struct fw_http_server *s, struct fw_held *held,
                  int is_bounded);
/*
 * Closes each connection after its current or next response. Can't be undone;
 * listening goes on.
 */
void
Fw_Server_Drain(struct fw_http_server *s);
/*
 * While @on is set, closes each connection after its response, so that callers
 * reconnect, possibly to another instance.
 */
void
Fw_Server_SetCloseAfterResponse(struct fw_http_server *s, int on);
/*
 * While @on is set, the end of the connection ends each response whose length
 * is unknown, as it does for callers who speak HTTP/1.0.
 */
void
Fw_Server_SetUnframed(struct fw_http_server *s, int on);
/* Closes the connections on which no request has started. */
void
Fw_Server_CloseIdle(struct fw_http_server *s);
/*
 * Number of connections that are receiving a body, processing a request or
 * sending a response.
 */
int
Fw_Server_CountBusy(const struct fw_http_server *s);
int
Fw_Server_Port(const struct fw_http_server *s);
/* Writes "http://ip:port" as bound to @url, of at least FW_URL_MAX bytes. */
void
Fw_Server_Url(const struct fw_http_server *s, char *url);
/*
 * Enforces the timeouts; to be called about every 100 ms with the time of
 * Fw_Conn_NowUs.
 */
void
Fw_Server_Tick(struct fw_http_server *s, int64_t now_us);

/**
 * Fw_Caller_Start - starts the response.
 * @fields: header lines, each with its CRLF, without Content-Length,
 *          Transfer-Encoding and Connection
 * @length: length of the body in bytes, or -1 when unknown
 */
void
Fw_Caller_Start(struct fw_http_caller *c, int status, const char *fields,
                int64_t length);
/* Sends a part of the body; @data is copied. */
void
Fw_Caller_Data(struct fw_http_caller *c, const void *data, size_t len);
/* Completes the response; @c is invalid afterwards. */
void
Fw_Caller_End(struct fw_http_caller *c);
/*
 * Aborts the response by a connection reset, so that the caller can't mistake
 * it for complete; @c is invalid afterwards.
 */
void
Fw_Caller_Abort(struct fw_http_caller *c);
/* Sends a complete response; @c is invalid afterwards. */
void
Fw_Caller_Respond(struct fw_http_caller *c, int status, const char *fields,
                  const char *body);
/* Frees the body of the request before the response ends. */
void
Fw_Caller_ReleaseBody(struct fw_http_caller *c);
/* What the connection's buffers are charged to; NULL without a budget. */
struct fw_held_account *
Fw_Caller_Account(const struct fw_http_caller *c);
/* Bytes of the response that the kernel has not accepted yet. */
size_t
Fw_Caller_Unsent(const struct fw_http_caller *c);

#endif
