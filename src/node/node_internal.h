/* Declarations private to src/node. */
#ifndef FW_NODE_INTERNAL_H
#define FW_NODE_INTERNAL_H

#include "config/replica.h"
#include "fleet/fleet.h"
#include "fleet/role.h"
#include "idem/idem.h"
#include "limit/limit.h"
#include "node/node.h"
#include "operate/explain.h"
#include "operate/operate.h"
#include "order/order.h"
#include "request/request.h"

/**
 * struct fw_node - one instance.
 * @wake_us: earliest tick requested by any subsystem
 * @next_list_us: when the list of instances and upstreams is read next
 * @stale_logged_us: when a stale configuration was last logged
 * @drain_started_us: 0 while not draining
 * @exited: the exit action was emitted
 * @configured_us: when warm-up first saw a configuration in force, 0 for not
 *                 yet
 * @warm: warm-up is over, see warm_up()
 * @next_peer: counter that rotates the peers asked for the configuration
 * @checked_offset: offset of the configuration that requests were last checked
 *                  against
 */
struct fw_node {
    struct fw_node_opts opts;
    struct fw_metrics metrics;
    struct fw_config_replica *replica;
    struct fw_fleet *fleet;
    struct fw_roles *roles;
    struct fw_limit *limit;
    struct fw_idem *idem;
    struct fw_router *router;
    struct fw_requests *requests;
    struct fw_orders *orders;
    struct fw_operate *operate;
    struct fw_explain *explain;
    int64_t wake_us;
    int64_t next_list_us;
    int64_t stale_logged_us;
    int64_t drain_started_us;
    int exited;
    int64_t configured_us;
    int warm;
    unsigned next_peer;
    uint64_t checked_offset;
    struct fw_metric stale_metric;
    struct fw_metric open_metric;
};

/* maintenance.c */
/* Runs the timers of the node and its subsystems. */
void
Fw_Node_Tick(struct fw_node *node, int64_t now_us, struct fw_actions *out);
/* Starts a graceful stop; no effect when it has already started. */
void
Fw_Node_Drain(struct fw_node *node, int64_t now_us, struct fw_actions *out);
/* Emits the exit action once a drain is complete. */
void
Fw_Node_CheckDrained(struct fw_node *node, int64_t now_us,
                     struct fw_actions *out);

#endif
