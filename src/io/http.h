/*
 * The router's HTTP servers: one port for callers, one for operators. They
 * turn requests into FW_EV_CALL_OPEN, FW_EV_CALL_CLOSED and FW_EV_OPERATOR
 * and execute FW_ACT_CALL_* actions. Connections and HTTP parsing are in
 * src/http.
 */
#ifndef FW_IO_HTTP_H
#define FW_IO_HTTP_H

#include "base/metrics.h"
#include "core/action.h"
#include "io/api.h"
#include "io/sink.h"

/* Unsent bytes of a stream above which its caller is disconnected. */
#define FW_STREAM_QUEUE_MAX_BYTES (256UL * 1024)
/* A caller that reads nothing of a complete response for so long is closed. */
#define FW_WRITE_STALL_TIMEOUT_US (60 * FW_SEC)
/* Idle time of a persistent connection. */
#define FW_KEEPALIVE_TIMEOUT_US (120 * FW_SEC)

/** enum fw_http_port - index of a server. */
enum fw_http_port {
    FW_PORT_CALLERS,
    FW_PORT_OPERATORS,
    FW_PORT_COUNT,
};

/**
 * struct fw_http_opts - parameters of both servers.
 * @sink: receives the events
 * @body_max, @header_max: size limits of a request, in bytes
 * @read_timeout_us: for receiving a whole request, head and body
 * @ready: called with @ready_ctx for /readyz; nonzero means ready
 */
struct fw_http_opts {
    struct fw_sink sink;
    struct fw_metrics *metrics;
    struct fw_api_limits api;
    size_t body_max;
    size_t header_max;
    int64_t read_timeout_us;
    int (*ready)(const void *ctx);
    const void *ready_ctx;
};

struct fw_http;

struct fw_http *
Fw_Http_New(const struct fw_http_opts *opts);
void
Fw_Http_Free(struct fw_http *http);
/**
 * Fw_Http_Listen - binds @addr ("ip:port").
 * @url: set to "http://ip:port" with the port bound; at least FW_URL_MAX bytes
 *
 * Return: 0 or a negative errno.
 */
int
Fw_Http_Listen(struct fw_http *http, enum fw_http_port port, const char *addr,
               char *url);
/* Executes one FW_ACT_CALL_* action; an unknown handle is ignored. */
void
Fw_Http_HandleAction(struct fw_http *http, const struct fw_action *a);
/* Nonzero while a response has not been fully written. */
int
Fw_Http_HasPendingResponses(const struct fw_http *http);

#endif
