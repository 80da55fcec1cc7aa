/* Declarations private to src/order. */
#ifndef FW_ORDER_INTERNAL_H
#define FW_ORDER_INTERNAL_H

#include <glib.h>

#include "order/order.h"

/* Update of the set of engines, and check for polls that are due. */
#define FW_ORDER_SYNC_INTERVAL_US (1 * FW_SEC)
#define FW_ORDER_POLL_INTERVAL_US (30 * FW_SEC)
/* Poll of an engine that is not as configured or did not answer. */
#define FW_ORDER_RECHECK_INTERVAL_US (2 * FW_SEC)
/* Engines with an older report do not count as serving. */
#define FW_ORDER_REPORT_MAX_AGE_US (90 * FW_SEC)
#define FW_ORDER_POLL_TIMEOUT_US (5 * FW_SEC)
/* Loading weights can take minutes. */
#define FW_ORDER_TIMEOUT_US (900 * FW_SEC)
/* Per pool: concurrent loads share the bandwidth of the weight store. */
#define FW_ORDER_LOADS_MAX 1

/** enum fw_order_call - call under way to an engine. */
enum fw_order_call {
    FW_ORDER_CALL_NONE,
    FW_ORDER_CALL_POLL,
    FW_ORDER_CALL_ORDER,
};

/**
 * struct fw_order_engine - an engine managed by this instance.
 * @op: number of the call under way, 0 for none
 * @hold_until_us: no order is sent before, after one that was fenced or may
 *                 still arrive
 * @report_us: when @report was received; 0 when there is none or an order has
 *             ended since
 * @last_order: the order under way, or else the last one
 * @state: order under way, reason why there is none, or "as configured"
 * @version: newest version of the upstream's and the pool's configuration, at
 *           the last sync
 * @drained: taken out of service by an operator
 * @owned: in a pool that this instance manages, set at each sync
 */
struct fw_order_engine {
    char name[FW_NAME_MAX];
    char pool[FW_NAME_MAX];
    enum fw_order_call call;
    uint64_t op;
    int64_t next_poll_us;
    int64_t hold_until_us;
    int64_t report_us;
    struct fw_up_report report;
    struct fw_up_order last_order;
    char last_order_text[FW_MODELREF_MAX + 48];
    char state[96];
    uint64_t version;
    int drained;
    int owned;
    struct fw_list link;
};

struct fw_orders {
    const struct fw_roles *roles;
    GRand *rand;
    uint64_t seq;
    int64_t next_sync_us;
    struct fw_list engines;
    struct fw_metric sent;
    struct fw_metric failed;
    struct fw_metric fenced;
    struct fw_metric pending;
};

/**
 * struct fw_order_counts - engines of a pool.
 * @prefill, @decode: engines that serve in this role by their reports
 * @loads: loads of models or adapters under way
 */
struct fw_order_counts {
    int prefill;
    int decode;
    int loads;
};

struct fw_order_counts
Fw_Order_CountEngines(const struct fw_orders *o, const char *pool,
                      int64_t now_us);

/**
 * Fw_Order_Plan - chooses the next order for @e.
 * @order: filled except for @fence and @ttl_us
 * @why: buffer of @size bytes for the reason when there is no order
 *
 * Return: 1 when @order is to be sent, else 0.
 */
int
Fw_Order_Plan(const struct fw_pool *pool, const struct fw_upstream *up,
              const struct fw_order_engine *e,
              const struct fw_order_counts *counts, struct fw_up_order *order,
              char *why, size_t size);

const char *
Fw_Order_OpName(enum fw_order_op op);
/* Sends the next order to @e if there is one and the role is held; otherwise
 * sets the state to the reason. */
void
Fw_Order_SendNext(struct fw_orders *o, const struct fw_config *cfg,
                  struct fw_order_engine *e, int64_t now_us,
                  struct fw_actions *out);

#endif
