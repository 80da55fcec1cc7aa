/*
 * The product's own HTTP ports: callers' port and operators' port. They turn
 * requests into FW_EV_CALL_OPEN, _CALL_CLOSED and _OPERATOR and carry out
 * FW_ACT_CALL_*. Connections and parsing are those of src/http.
 */
#ifndef FW_IO_HTTP_H
#define FW_IO_HTTP_H

#include "base/metrics.h"
#include "core/action.h"
#include "io/api.h"
#include "io/sink.h"

/* Bytes of a stream that may wait for a slow reader. */
#define FW_STREAM_QUEUE_MAX (256UL * 1024)
/* Silence of a reader after its answer is whole, then it is cut off. */
#define FW_WRITE_STALL_US (60 * FW_SEC)
/* A kept connection without a request is closed after this. */
#define FW_KEEPALIVE_US (120 * FW_SEC)

/** enum fw_http_port - which server. */
enum fw_http_port {
    FW_PORT_CALLERS,
    FW_PORT_OPERATORS,
    FW_PORTS,
};

/**
 * struct fw_http_opts - what the settings and the core hand in.
 * @read_timeout_us: for head and body of a request together
 * @ready: nonzero when new requests are taken, called with @ctx
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
 * @url: of the address really bound, at least FW_URL_MAX bytes
 *
 * Return: 0 or a negative errno.
 */
int
Fw_Http_Listen(struct fw_http *http, enum fw_http_port port, const char *addr,
               char *url);
/* Carries out one of FW_ACT_CALL_*; unknown handles are ignored. */
void
Fw_Http_Act(struct fw_http *http, const struct fw_action *a);
/* Nonzero while some answer is not yet written out. */
int
Fw_Http_Busy(const struct fw_http *http);

#endif
