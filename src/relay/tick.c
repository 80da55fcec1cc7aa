/* Time limits and periodic work. */
#include <errno.h>

#include "base/fault.h"
#include "relay/relay_internal.h"

/* Time by which an upstream may exceed a deadline before the call ends. */
#define FW_DEADLINE_SLACK_US (60 * FW_MSEC)

/* A call's own time limit is that of its request, see tick_call(). */
static int
has_ended(struct fw_relay *r, struct fw_rl_op *op, int64_t now_us,
          struct fw_rl_actions *out)
{
    if (op->overdue_us && now_us >= op->overdue_us &&
        Fw_Plain_GivesUp(r, op, now_us, out)) {
        return 1;
    }
    return now_us >= op->deadline_us &&
           !(op->call && op->deadline_us >= op->call->deadline_us);
}

static void
tick_ops(struct fw_relay *r, int64_t now_us, struct fw_rl_actions *out)
{
    struct fw_list *pos = r->op_list.next;

    while (pos != &r->op_list) {
        struct fw_rl_op *op = FW_LIST_ENTRY(pos, struct fw_rl_op, link);
        uint64_t xid = op->xid;

        if (!has_ended(r, op, now_us, out)) {
            pos = pos->next;
            continue;
        }
        Fw_RelayActions_Add(out, FW_RL_DO_CANCEL_CALL)->u.xid = xid;
        Fw_Relay_UpstreamFailed(r, xid, -ETIMEDOUT, 1, now_us, out);
        pos = r->op_list.next; /* the failure may have changed the list */
    }
}

static int
is_overdue(const struct fw_rl_call *c, int64_t now_us)
{
    return now_us >= c->deadline_us + FW_DEADLINE_SLACK_US &&
           !FW_FAULT("deadline-ignored");
}

static void
tick_call(struct fw_relay *r, struct fw_rl_call *c, int64_t now_us,
          struct fw_rl_actions *out)
{
    if (is_overdue(c, now_us)) {
        int sent = c->op && (c->op->kind == FW_RL_UP_RUN ||
                             c->op->kind == FW_RL_UP_HANDOVER);

        if (c->is_forwarded) {
            Fw_Call_Finish(r, c, 0, now_us, out);
            return;
        }
        c->ran = sent ? MAX(c->ran, FW_RAN_MAYBE) : c->ran;
        Fw_Call_Reject(r, c, c->ran == FW_RAN_NO ? 503 : 504, FW_SEC,
                       "timeout", now_us, out);
        return;
    }
    Fw_Crashes_NoteLasting(r, c, now_us);
    if (c->kv_tokens) {
        Fw_KvDemand_Update(r, c, now_us);
    }
    if (!c->kv_tokens || c->state != FW_RL_QUEUED) {
        return;
    }
    if (Fw_Stopping_RejectIfLate(r, c, 1, now_us, out)) {
        return;
    }
    if (now_us >= c->queue_until_us) {
        if (Fw_Handover_Rescue(r, c, "no_room", now_us, out)) {
            return;
        }
        Fw_Call_Reject(r, c, 503, Fw_Ranks_RetryAfter(r, c, now_us), "no_room",
                       now_us, out);
        return;
    }
    Fw_Ranks_TickQueued(r, c, now_us, out);
}

void
Fw_Relay_Tick(struct fw_relay *r, int64_t now_us, struct fw_rl_actions *out)
{
    struct fw_list *pos;
    struct fw_list *tmp;

    Fw_Pause_NoteTick(r, now_us);
    Fw_Servers_Tick(r, now_us, out);
    tick_ops(r, now_us, out);
    FW_LIST_EACH_SAFE (pos, tmp, &r->call_list) {
        tick_call(r, FW_LIST_ENTRY(pos, struct fw_rl_call, link), now_us, out);
    }
    Fw_Members_Tick(r, now_us, out);
    Fw_Demand_Expire(r->service_demand.demand, now_us);
    Fw_ServerLimits_Tick(r, out);
    Fw_Speeds_Tick(r, now_us, out);
    Fw_Links_Tick(r, now_us, out);
    Fw_Crashes_Tick(r, now_us, out);
    Fw_StageOrder_Tick(r, now_us, out);
    Fw_ServiceStats_Tick(r, now_us, out);
    Fw_Starting_Resume(r, now_us, out);
    Fw_Ranks_Tick(r, now_us, out);
    Fw_Stream_PlaceQueued(r, now_us, out);
    Fw_Relay_UpdateGauges(r, now_us);
}
