/* Handles the answers of engines to polls and orders. */
#include <string.h>
#include <syslog.h>

#include "order/order_internal.h"

static struct fw_order_engine *
find_by_op(const struct fw_orders *o, uint64_t op)
{
    const struct fw_list *pos;

    FW_LIST_EACH (pos, &o->engines) {
        struct fw_order_engine *e =
            FW_LIST_ENTRY(pos, struct fw_order_engine, link);

        if (e->op == op) {
            return e;
        }
    }
    return NULL;
}

static void
finish_poll(struct fw_orders *o, const struct fw_config *cfg,
            struct fw_order_engine *e, const struct fw_up_event *ev,
            int64_t now_us, struct fw_actions *out)
{
    if (ev->phase == FW_UP_FAILED) {
        g_strlcpy(e->state, "does not answer", sizeof(e->state));
        e->next_poll_us = now_us + FW_ORDER_RECHECK_INTERVAL_US;
        return;
    }
    e->report = ev->u.report;
    e->report_us = now_us;
    Fw_Order_SendNext(o, cfg, e, now_us, out);
    e->next_poll_us = now_us + (strcmp(e->state, "as configured") == 0
                                    ? FW_ORDER_POLL_INTERVAL_US
                                    : FW_ORDER_RECHECK_INTERVAL_US);
}

static void
log_failure(const struct fw_order_engine *e, const struct fw_up_event *ev,
            struct fw_actions *out)
{
    char status[12];

    g_snprintf(status, sizeof(status), "%d", ev->status);
    Fw_Actions_Note(out, LOG_WARNING, "order_failed", "upstream", e->name,
                    "order", e->last_order_text, "status", status, "ran",
                    Fw_Ran_Name(ev->ran), NULL);
}

/*
 * Whether an order took effect is read from the engine's next report, since
 * its answer can be lost. An order that may still be in transit blocks further
 * ones until its time to live is over, so that they can't be reordered.
 */
static void
finish_order(struct fw_orders *o, struct fw_order_engine *e,
             const struct fw_up_event *ev, int64_t now_us,
             struct fw_actions *out)
{
    /* The report predates the order. If it still counted, another engine could
     * leave a role that this one no longer has. */
    e->report_us = 0;
    e->next_poll_us = now_us;
    if (ev->phase != FW_UP_FAILED) {
        Fw_Actions_Note(out, LOG_NOTICE, "order_done", "upstream", e->name,
                        "order", e->last_order_text, NULL);
        return;
    }
    o->failed.value++;
    log_failure(e, ev, out);
    e->next_poll_us = now_us + FW_ORDER_RECHECK_INTERVAL_US;
    if (ev->status == 409) {
        o->fenced.value++;
        e->hold_until_us = now_us + FW_ROLE_VIEW_MAX_AGE_US;
        g_strlcpy(e->state, "refused: a newer holder gives orders",
                  sizeof(e->state));
        return;
    }
    if (ev->ran != FW_RAN_NO) {
        e->hold_until_us = now_us + FW_ORDER_TTL_US;
    }
    g_strlcpy(e->state, "the last order failed", sizeof(e->state));
}

void
Fw_Orders_OnUp(struct fw_orders *o, const struct fw_config *cfg,
               const struct fw_up_event *ev, int64_t now_us,
               struct fw_actions *out)
{
    struct fw_order_engine *e = find_by_op(o, ev->op);
    enum fw_order_call call;

    if (!e || ev->phase == FW_UP_TOKEN) {
        return;
    }
    call = e->call;
    e->call = FW_ORDER_CALL_NONE;
    e->op = 0;
    if (call == FW_ORDER_CALL_POLL) {
        finish_poll(o, cfg, e, ev, now_us, out);
    }
    else {
        finish_order(o, e, ev, now_us, out);
    }
}
