/* Read-only queries of engines and their orders. */
#include <string.h>

#include "order/order_internal.h"

/* Counts no engine that is unreachable, leaving or drained. */
struct fw_order_counts
Fw_Order_CountEngines(const struct fw_orders *o, const char *pool,
                      int64_t now_us)
{
    struct fw_order_counts n = {.loads = 0};
    const struct fw_list *pos;

    FW_LIST_EACH (pos, &o->engines) {
        const struct fw_order_engine *e =
            FW_LIST_ENTRY(pos, struct fw_order_engine, link);

        if (strcmp(e->pool, pool) != 0) {
            continue;
        }
        n.loads += e->call == FW_ORDER_CALL_ORDER &&
                   (e->last_order.op == FW_ORDER_LOAD_MODEL ||
                    e->last_order.op == FW_ORDER_LOAD_ADAPTER);
        if (!e->report_us ||
            now_us > e->report_us + FW_ORDER_REPORT_MAX_AGE_US ||
            e->report.draining || e->drained) {
            continue;
        }
        /* An engine whose role is changing, or may be, has neither role. */
        if (e->last_order.op == FW_ORDER_SET_ROLE &&
            (e->call == FW_ORDER_CALL_ORDER || now_us < e->hold_until_us)) {
            continue;
        }
        n.prefill += strcmp(e->report.role, "prefill") == 0;
        n.decode += strcmp(e->report.role, "decode") == 0;
    }
    return n;
}

void
Fw_Orders_Each(const struct fw_orders *o,
               void (*row)(const struct fw_order_row *r, void *ctx), void *ctx)
{
    const struct fw_list *pos;

    FW_LIST_EACH (pos, &o->engines) {
        const struct fw_order_engine *e =
            FW_LIST_ENTRY(pos, struct fw_order_engine, link);
        struct fw_order_row r = {.engine = e->name,
                                 .pool = e->pool,
                                 .state = e->state,
                                 .last = e->last_order_text,
                                 .fence = e->last_order.fence};

        row(&r, ctx);
    }
}
