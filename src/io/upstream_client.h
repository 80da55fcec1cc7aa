/*
 * HTTP client for upstreams: engines and plain services. Executes
 * FW_ACT_UP_START and FW_ACT_UP_STOP, emits FW_EV_UP.
 */
#ifndef FW_IO_UPSTREAM_CLIENT_H
#define FW_IO_UPSTREAM_CLIENT_H

#include "base/metrics.h"
#include "core/up.h"
#include "io/sink.h"

struct fw_upstream_client;

/**
 * Fw_UpstreamClient_New - creates a client for all upstreams.
 * @max_conns: connections of each of FW_SESSION_COUNT sessions, over which the
 *             upstreams are distributed
 * @max_conns_per_host: connections to one upstream
 * @body_max: longest response of a plain service, in bytes
 *
 * Calls beyond a connection limit are queued by libsoup; their idle timeout
 * runs meanwhile.
 */
struct fw_upstream_client *
Fw_UpstreamClient_New(const struct fw_sink *sink, struct fw_metrics *metrics,
                      int max_conns, int max_conns_per_host, size_t body_max);
/* Aborts all calls without further events. */
void
Fw_UpstreamClient_Free(struct fw_upstream_client *c);

/* Starts a call; its events follow from the main loop. */
void
Fw_UpstreamClient_Start(struct fw_upstream_client *c,
                        const struct fw_up_start *up);
/*
 * Aborts call @op without further events and closes its connection, so that
 * the upstream notices. Does nothing when the call has ended.
 */
void
Fw_UpstreamClient_Stop(struct fw_upstream_client *c, uint64_t op);

#endif
