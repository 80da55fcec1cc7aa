/* What engines answer: load reports and the fate of orders. */
#include <string.h>
#include <syslog.h>

#include "order/order_internal.h"

static struct fw_order_engine *
engine_of(const struct fw_orders *o, uint64_t op)
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
on_poll(struct fw_orders *o, const struct fw_config *cfg,
        struct fw_order_engine *e, const struct fw_up_event *ev,
        int64_t now_us, struct fw_actions *out)
{
    if (ev->phase == FW_UP_FAILED) {
        g_strlcpy(e->state, "does not answer", sizeof(e->state));
        e->due_us = now_us + FW_ORDER_RECHECK_US;
        return;
    }
    e->report = ev->u.report;
    e->report_us = now_us;
    Fw_Order_Act(o, cfg, e, now_us, out);
    e->due_us = now_us + (strcmp(e->state, "as configured") == 0
                              ? FW_ORDER_POLL_US
                              : FW_ORDER_RECHECK_US);
}

static void
note_failure(const struct fw_order_engine *e, const struct fw_up_event *ev,
             struct fw_actions *out)
{
    char status[12];

    g_snprintf(status, sizeof(status), "%d", ev->status);
    Fw_Actions_Note(out, LOG_WARNING, "order_failed", "upstream", e->name,
                    "order", e->last_text, "status", status, "ran",
                    Fw_Ran_Name(ev->ran), NULL);
}

/*
 * What became of an order is read from the engine's next report, never
 * assumed: its answer can be lost after it took effect. When it is not known
 * whether the order came, none follows until its time to live is over, or
 * the two could arrive the other way round.
 */
static void
on_order(struct fw_orders *o, struct fw_order_engine *e,
         const struct fw_up_event *ev, int64_t now_us, struct fw_actions *out)
{
    /* What was reported before the order no longer counts: another engine
     * could leave its role because this one is still believed to have it. */
    e->report_us = 0;
    e->due_us = now_us;
    if (ev->phase != FW_UP_FAILED) {
        Fw_Actions_Note(out, LOG_NOTICE, "order_done", "upstream", e->name,
                        "order", e->last_text, NULL);
        return;
    }
    o->failed.value++;
    note_failure(e, ev, out);
    e->due_us = now_us + FW_ORDER_RECHECK_US;
    if (ev->status == 409) {
        o->fenced.value++;
        e->hold_us = now_us + FW_ROLE_VIEW_MAX_AGE_US;
        g_strlcpy(e->state, "refused: a newer holder gives orders",
                  sizeof(e->state));
        return;
    }
    if (ev->ran != FW_RAN_NO) {
        e->hold_us = now_us + FW_ORDER_TTL_US;
    }
    g_strlcpy(e->state, "the last order failed", sizeof(e->state));
}

void
Fw_Orders_OnUp(struct fw_orders *o, const struct fw_config *cfg,
               const struct fw_up_event *ev, int64_t now_us,
               struct fw_actions *out)
{
    struct fw_order_engine *e = engine_of(o, ev->op);
    enum fw_order_call call;

    if (!e || ev->phase == FW_UP_PIECE) {
        return;
    }
    call = e->call;
    e->call = FW_ORDER_IDLE;
    e->op = 0;
    if (call == FW_ORDER_POLL) {
        on_poll(o, cfg, e, ev, now_us, out);
    }
    else {
        on_order(o, e, ev, now_us, out);
    }
}
