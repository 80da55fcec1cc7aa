/*
 * HTTP/1 client with connection reuse. It never retries a request: whether
 * that is safe is for its user to decide.
 */
#ifndef FW_HTTP_CLIENT_H
#define FW_HTTP_CLIENT_H

#include <glib.h>

#include "base/metrics.h"
#include "held/held.h"
#include "http/head.h"

/** struct fw_conn_pool - idle connections and running exchanges. */
struct fw_conn_pool;
/** struct fw_exchange - a request and its response. */
struct fw_exchange;

/** enum fw_head_action - what to do with a response, decided on its head. */
enum fw_head_action {
    FW_HEAD_ACCEPT,
    FW_HEAD_DISCARD,      /* discard it: it belongs to another request */
    FW_HEAD_UNIDENTIFIED, /* it bears no id: discard it if the connection has
                             carried another request without one, else fail
                             with -EBADMSG, as it says of no request */
};

/**
 * enum fw_sent - how much of a failed request may have reached the upstream.
 * @FW_SENT_NONE: nothing, so the upstream has not run it
 * @FW_SENT_SOME: a part or all of it
 */
enum fw_sent {
    FW_SENT_NONE,
    FW_SENT_SOME,
};

/**
 * struct fw_exchange_ops - callbacks of an exchange. The exchange is freed
 * before @end or @fail is called.
 * @head: the head of the response was received
 * @body: the next part of the body
 * @end: the response is complete
 * @fail: @err is a negative errno, -EBADMSG for an invalid response
 */
struct fw_exchange_ops {
    enum fw_head_action (*head)(void *ctx, const struct fw_http_head *head);
    void (*body)(void *ctx, const char *data, size_t len);
    void (*end)(void *ctx);
    void (*fail)(void *ctx, int err, enum fw_sent sent);
};

/**
 * struct fw_exchange_opts - options of an exchange.
 * @reuse_idle_max_us: reuse a connection only when it was idle for less; 0 to
 *                     open a new one. An upstream may have dropped an idle
 *                     connection silently, which fails the request by a
 *                     timeout after it was sent.
 * @connect_timeout_us: the exchange fails when it is not connected by then
 * @no_body: the response has no body, whatever its head says (HEAD)
 * @is_control: serves no caller: reading doesn't pause for the budget
 * @tag: hash of the id that the response must bear, 0 if it bears none
 * @may_answer_twice: the upstream may send an answer again, in place of the
 *                    next one on the connection: none is used on which that
 *                    would look like the answer to this request
 */
struct fw_exchange_opts {
    int64_t reuse_idle_max_us;
    int64_t connect_timeout_us;
    int no_body;
    int is_control;
    uint64_t tag;
    int may_answer_twice;
};

struct fw_conn_pool *
Fw_ConnPool_New(void);
/* Charges what the connections hold to @held, which must outlive them. */
void
Fw_ConnPool_SetHeld(struct fw_conn_pool *p, struct fw_held *held);
void
Fw_ConnPool_Free(struct fw_conn_pool *p);
/*
 * Closes expired idle connections and enforces connect timeouts; to be called
 * periodically with the time of Fw_Conn_NowUs.
 */
void
Fw_ConnPool_Tick(struct fw_conn_pool *p, int64_t now_us);
/* Closes the idle connections to @addr, e.g. when its server has changed. */
void
Fw_ConnPool_CloseIdle(struct fw_conn_pool *p, const char *addr);
void
Fw_ConnPool_AddMetrics(struct fw_conn_pool *p, struct fw_metrics *m);

/**
 * Fw_Exchange_Start - sends a request to @addr ("ip:port").
 * @head: request line and all fields, including those for the framing of
 *        @body, and the empty line
 * @body: referenced until it is sent; may be NULL
 * @ops: must outlive the exchange
 *
 * Return: the exchange, or NULL with a negative errno in @err when connecting
 * failed immediately: nothing was sent and no callback follows.
 */
struct fw_exchange *
Fw_Exchange_Start(struct fw_conn_pool *p, const char *addr,
                  const GString *head, GBytes *body,
                  const struct fw_exchange_opts *opts,
                  const struct fw_exchange_ops *ops, void *ctx, int *err);
/*
 * Aborts the exchange: resets the connection, so that the upstream stops, and
 * frees the exchange. No callback follows. May be called from @head and @body.
 */
void
Fw_Exchange_Abort(struct fw_exchange *x);
/* What its buffers are charged to, valid as long as it is; may be NULL. */
struct fw_held_account *
Fw_Exchange_Account(const struct fw_exchange *x);
/* Pauses or resumes reading the response, for flow control. */
void
Fw_Exchange_Pause(struct fw_exchange *x, int paused);

#endif
