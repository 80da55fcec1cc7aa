/*
 * Messages between instances over TCP.
 *
 * Both sides first authenticate with the fleet's shared secret (peer_auth.h).
 * A frame is a 4-byte big-endian length, one or more msgpack messages and a
 * 12-byte MAC, which is counted in the length. The MAC has a key for each
 * connection and direction and covers an implicit sequence number, so an
 * altered, replayed, missing or reordered frame closes the connection.
 * Messages are batched: those queued in one iteration of the main loop share
 * frames.
 */
#ifndef FW_IO_PEER_H
#define FW_IO_PEER_H

#include "base/metrics.h"
#include "core/action.h"
#include "core/types.h"
#include "io/sink.h"

/* Bytes queued for one peer; beyond, the oldest messages are dropped. */
#define FW_PEER_QUEUE_MAX_BYTES (512 * 1024)
/* Accepted connections in their handshake; further ones are rejected. */
#define FW_PEER_UNAUTHENTICATED_MAX 64

struct fw_peers;

/* @self: identity of this instance; @secret: shared secret of the fleet. */
struct fw_peers *
Fw_Peers_New(const struct fw_sink *sink, const struct fw_self *self,
             GBytes *secret);
void
Fw_Peers_Free(struct fw_peers *p);
void
Fw_Peers_AddMetrics(struct fw_peers *p, struct fw_metrics *metrics);
/**
 * Fw_Peers_Listen - binds @addr ("ip:port").
 * @bound: set to the address with the port bound; at least FW_URL_MAX bytes
 *
 * Return: 0 or a negative errno.
 */
int
Fw_Peers_Listen(struct fw_peers *p, const char *addr, char *bound);
/*
 * Queues a message, connecting to the peer if necessary. Delivery is not
 * guaranteed: messages are dropped, and counted, while the peer is
 * unreachable.
 */
void
Fw_Peers_Send(struct fw_peers *p, const struct fw_peer_send *send);

#endif
