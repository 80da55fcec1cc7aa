/*
 * Messages between instances over TCP.
 *
 * A frame is a 4-byte big-endian length, msgpack messages one after the
 * other, and an HMAC of 12 bytes, which the length counts. Both sides first
 * prove the fleet's secret over both challenges, names and boots
 * (peer_auth.h). Each later frame is authenticated under a key of its
 * connection and direction together with its number in it, so an altered,
 * repeated, left out or reordered frame closes the connection. The number is
 * counted on both sides and costs no bytes. Messages queued in one turn of
 * the loop go out in one frame.
 */
#ifndef FW_IO_PEER_H
#define FW_IO_PEER_H

#include "base/metrics.h"
#include "core/action.h"
#include "core/types.h"
#include "io/sink.h"

/* Bytes that may wait for one peer; beyond, the oldest go. */
#define FW_PEER_QUEUE_MAX_BYTES (512 * 1024)
/* Connections whose other side has not proven itself yet. */
#define FW_PEER_UNAUTHENTICATED_MAX 64

struct fw_peers;

/* @self: its name and boot are what peers see; @secret: of the fleet. */
struct fw_peers *
Fw_Peers_New(const struct fw_sink *sink, const struct fw_self *self,
             GBytes *secret);
void
Fw_Peers_Free(struct fw_peers *p);
void
Fw_Peers_AddMetrics(struct fw_peers *p, struct fw_metrics *metrics);
/**
 * Fw_Peers_Listen - binds @addr ("ip:port").
 * @bound: the address really bound, at least FW_URL_MAX bytes
 *
 * Return: 0 or a negative errno.
 */
int
Fw_Peers_Listen(struct fw_peers *p, const char *addr, char *bound);
/* Fire and forget: dropped and counted when the peer can't be reached. */
void
Fw_Peers_Send(struct fw_peers *p, const struct fw_peer_send *send);

#endif
