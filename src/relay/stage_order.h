/* Orders to engines, and the lease of the role that gives them. */
#ifndef FW_RELAY_STAGE_ORDER_H
#define FW_RELAY_STAGE_ORDER_H

#include "relay/calls.h"

/**
 * struct fw_rl_order_lease - lease of the order role; see stage_order.c.
 * @log_end: log offset at which the next claim must be appended
 * @last_claim_us: when this instance learned of the last claim, 0 for never
 * @claim_pending: a claim of this instance has not been answered yet
 * @fence: fencing token of the lease held here, 0 for none
 * @expires_us: end of the lease held here
 * @reports_requested: reports were requested of engines under this lease
 * @reports_until_us: no orders before this time, while reports arrive
 */
struct fw_rl_order_lease {
    uint64_t log_end;
    int64_t last_claim_us;
    int claim_pending;
    uint64_t fence;
    int64_t expires_us;
    int reports_requested;
    int64_t reports_until_us;
};

/* stage_order.c */
void
Fw_StageOrder_Tick(struct fw_relay *r, int64_t now_us,
                   struct fw_rl_actions *out);
void
Fw_StageOrder_HandleResponse(struct fw_relay *r, struct fw_rl_op *op,
                             const struct fw_rl_upstream_response *ans,
                             int64_t now_us, struct fw_rl_actions *out);
void
Fw_StageOrder_HandleFailure(struct fw_relay *r, struct fw_rl_op *op,
                            struct fw_rl_actions *out);

#endif
