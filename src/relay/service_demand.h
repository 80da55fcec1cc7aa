/* Demand for services by rank: what the relay notes and sends its peers. */
#ifndef FW_RELAY_SERVICE_DEMAND_H
#define FW_RELAY_SERVICE_DEMAND_H

#include <msgpack.h>

#include "demand/demand.h"
#include "relay/relay.h"

struct fw_rl_call;

/**
 * struct fw_rl_service_demand - demand for services, and its exchange.
 * @demand: demand at this instance and at the others
 * @shared: hashes of the services whose demand other instances are sent
 * @ranked: hash of a service with engines whose requests have several ranks to
 *     the bits of these ranks
 * @seq: number of messages sent
 * @sent_us: when the last one was sent
 * @sent_rows: it had any rows
 */
struct fw_rl_service_demand {
    struct fw_demand *demand;
    GArray *shared;
    GHashTable *ranked;
    uint64_t seq;
    int64_t sent_us;
    int sent_rows;
};

/* service_demand.c */
void
Fw_ServiceDemand_Init(struct fw_relay *r);
void
Fw_ServiceDemand_Clear(struct fw_relay *r);
/* The settings have changed. */
void
Fw_ServiceDemand_ApplyOpts(struct fw_relay *r);
/* The configuration has changed. */
void
Fw_ServiceDemand_ApplyRules(struct fw_relay *r);
/* Whether the demand for the service is sent to other instances. */
int
Fw_ServiceDemand_IsShared(const struct fw_relay *r, uint64_t service);
/*
 * Bits of the ranks of generation requests for the service if there are
 * several and precedence is on, otherwise 0.
 */
unsigned
Fw_ServiceDemand_Ranks(const struct fw_relay *r, uint64_t service);
/* The plain request @c has arrived. */
void
Fw_ServiceDemand_NotePlain(struct fw_relay *r, const struct fw_rl_call *c,
                           int64_t now_us);
/* The generation request @c, whose kv_tokens are known, has arrived. */
void
Fw_ServiceDemand_NoteStream(struct fw_relay *r, struct fw_rl_call *c,
                            int64_t now_us);
/*
 * Whether the generation request @c waits for a reservation. One that was
 * requested counts until it is granted: engines may reject many in turn.
 */
void
Fw_ServiceDemand_SetWaiting(struct fw_relay *r, struct fw_rl_call *c,
                            int is_waiting);

/* The queued request @c can no longer meet its objective. */
void
Fw_ServiceDemand_SetLate(struct fw_relay *r, struct fw_rl_call *c);
/* Whether requests of @route may go to @service. */
int
Fw_ServiceDemand_IsTarget(const struct fw_rl_route_rule *route,
                          const char *service);

/* demand_message.c */
/* Sends other instances the demand that is known here, if that is due. */
void
Fw_DemandMessage_SendDue(struct fw_relay *r, int64_t now_us,
                         struct fw_rl_outbox *out);
/* Return: 0, or -EBADMSG if @o isn't a valid message about demand. */
int
Fw_DemandMessage_Read(struct fw_relay *r, const msgpack_object *o,
                      int64_t now_us);

#endif
