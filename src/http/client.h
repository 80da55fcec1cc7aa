/*
 * Calls to upstreams. Nothing is ever sent a second time from here: whether
 * a call may be repeated is for the owner to decide.
 */
#ifndef FW_HTTP_CLIENT_H
#define FW_HTTP_CLIENT_H

#include <glib.h>

#include "base/metrics.h"
#include "http/head.h"

struct fw_pool;
struct fw_exchange;

/** enum fw_take - what the owner says to a response's head. */
enum fw_take {
    FW_TAKE_IT,
    FW_TAKE_SKIP, /* it answers another request: drop it, read the next */
};

/**
 * enum fw_sent - how much of a failed call can have reached the upstream.
 * @FW_SENT_NONE: not a byte: it surely didn't run
 * @FW_SENT_SOME: some or all
 */
enum fw_sent {
    FW_SENT_NONE,
    FW_SENT_SOME,
};

/**
 * struct fw_exchange_ops - what the owner hears. After @end or @fail the
 * exchange is gone.
 * @fail: @err is a negative errno; -EBADMSG for bytes that are no response
 */
struct fw_exchange_ops {
    enum fw_take (*head)(void *ctx, const struct fw_http_head *head);
    void (*body)(void *ctx, const char *data, size_t len);
    void (*end)(void *ctx);
    void (*fail)(void *ctx, int err, enum fw_sent sent);
};

/**
 * struct fw_exchange_opts - how a call is made.
 * @reuse_us: a kept connection is taken only when it was idle for less;
 *            0 for a new one. An upstream that has silently dropped the
 *            connection is noticed only by a timeout, and a call that must
 *            not be repeated is lost then.
 * @connect_us: a connection that isn't there by then counts as refused
 * @no_body: the response has no body whatever its head says (HEAD)
 */
struct fw_exchange_opts {
    int64_t reuse_us;
    int64_t connect_us;
    int no_body;
};

struct fw_pool *
Fw_Pool_New(void);
void
Fw_Pool_Free(struct fw_pool *p);
/* Closes idle connections in time and gives up slow connects. */
void
Fw_Pool_Tick(struct fw_pool *p, int64_t now_us);
/* Closes the idle connections to @addr: another server may have it now. */
void
Fw_Pool_Forget(struct fw_pool *p, const char *addr);
void
Fw_Pool_AddMetrics(struct fw_pool *p, struct fw_metrics *m);

/**
 * Fw_Exchange_Start - sends a request to @addr.
 * @head: request line and fields with the empty line; framing included
 * @body: may be NULL
 *
 * Return: the exchange, or NULL with a negative errno in @err when the
 * connection could not even be begun: nothing was sent.
 */
struct fw_exchange *
Fw_Exchange_Start(struct fw_pool *p, const char *addr, const GString *head,
                  GBytes *body, const struct fw_exchange_opts *opts,
                  const struct fw_exchange_ops *ops, void *ctx, int *err);
/* Closes the connection, so that the upstream stops; nothing follows. */
void
Fw_Exchange_Stop(struct fw_exchange *x);
/* While paused the response stays in the kernel. */
void
Fw_Exchange_Pause(struct fw_exchange *x, int paused);

#endif
