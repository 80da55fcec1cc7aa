/* Calls to upstreams: carries out FW_ACT_UP_START, gives FW_EV_UP. */
#ifndef FW_IO_UP_CLIENT_H
#define FW_IO_UP_CLIENT_H

#include "base/metrics.h"
#include "core/up.h"
#include "io/sink.h"

struct fw_upstream_client;

/**
 * Fw_UpstreamClient_New - connections are bounded by @max_conns for each of 16
 * groups of upstreams and, to one upstream, by @max_conns_per_host: beyond,
 * calls wait unseen.
 * @body_max: longest answer of a plain service
 */
struct fw_upstream_client *
Fw_UpstreamClient_New(const struct fw_sink *sink, struct fw_metrics *metrics,
                      int max_conns, int max_conns_per_host, size_t body_max);
/* Closes all connections; no event follows. */
void
Fw_UpstreamClient_Free(struct fw_upstream_client *c);

void
Fw_UpstreamClient_Start(struct fw_upstream_client *c,
                        const struct fw_up_start *up);
/* Closes the connection of @op, if it still runs; no event follows. */
void
Fw_UpstreamClient_Stop(struct fw_upstream_client *c, uint64_t op);

#endif
