/*
 * Reconciles engines with the configuration of their pools: loaded models,
 * adapters, versions and role.
 *
 * Each pool belongs to one partition of the order role, whose holder is the
 * only instance that sends orders to its engines. The holder keeps a minimum
 * of engines in each role and limits the model loads under way. The role is
 * checked before each order, and the order carries the role's fencing number
 * and a time to live. See docs/design/orders.md.
 */
#ifndef FW_ORDER_ORDER_H
#define FW_ORDER_ORDER_H

#include "base/metrics.h"
#include "config/config.h"
#include "core/action.h"
#include "core/types.h"
#include "fleet/role.h"

/* Engines drop orders that are older. A new holder of the role waits longer
 * before its first order, see FW_ORDER_WAIT_US in node.c. */
#define FW_ORDER_TTL_US (8 * FW_SEC)

/** struct fw_orders - the engines of the pools that this instance manages. */
struct fw_orders;

/* @roles and @metrics are borrowed; @metrics may be NULL. */
struct fw_orders *
Fw_Orders_New(const struct fw_roles *roles, uint32_t seed,
              struct fw_metrics *metrics);
void
Fw_Orders_Free(struct fw_orders *o);

/* Updates the set of engines and polls those that are due. */
void
Fw_Orders_Tick(struct fw_orders *o, const struct fw_config *cfg,
               int64_t now_us, struct fw_actions *out);
/* Handles an event of a poll or an order, whose number has the owner
 * FW_OWNER_ORDER. */
void
Fw_Orders_OnUp(struct fw_orders *o, const struct fw_config *cfg,
               const struct fw_up_event *ev, int64_t now_us,
               struct fw_actions *out);

/**
 * struct fw_order_row - one line of `show orders`.
 * @state: order under way, reason why there is none, or "as configured"
 * @last: text of the last order sent, empty for none
 * @fence: fencing number of the last order, 0 for none
 */
struct fw_order_row {
    const char *engine;
    const char *pool;
    const char *state;
    const char *last;
    uint64_t fence;
};

/* Calls @row for each engine managed here; its strings are borrowed. */
void
Fw_Orders_Each(const struct fw_orders *o,
               void (*row)(const struct fw_order_row *r, void *ctx),
               void *ctx);

#endif
