/* The step function: dispatches events to subsystems and their answers to the
 * requests. */
#include <errno.h>
#include <string.h>

#include "node/node_internal.h"

static void
refuse(const struct fw_call *call, const char *code, const char *message,
       struct fw_actions *out)
{
    struct fw_call_fail *f = &Fw_Actions_Add(out, FW_ACT_CALL_FAIL)->u.fail;

    f->call = call->call;
    f->status = 503;
    f->ran = FW_RAN_NO;
    f->retry_after_us = FW_SEC;
    g_strlcpy(f->request_id, call->request_id, sizeof(f->request_id));
    g_strlcpy(f->code, code, sizeof(f->code));
    g_strlcpy(f->message, message, sizeof(f->message));
}

static void
open_call(struct fw_node *node, const struct fw_call *call, int64_t now_us,
          struct fw_actions *out)
{
    if (node->drain_started_us) {
        refuse(call, "draining", "this instance is stopping", out);
        return;
    }
    if (!Fw_ConfigReplica_IsReady(node->replica)) {
        refuse(call, "not_configured",
               "this instance has no configuration yet", out);
        return;
    }
    Fw_Requests_Open(node->requests, call, now_us, out);
}

static void
on_up(struct fw_node *node, const struct fw_up_event *ev, int64_t now_us,
      struct fw_actions *out)
{
    switch (Fw_Owner_Of(ev->op)) {
    case FW_OWNER_ROUTE:
        Fw_Router_OnUp(node->router, Fw_Node_Config(node), ev, now_us, out);
        break;
    case FW_OWNER_ORDER:
        Fw_Orders_OnUp(node->orders, Fw_Node_Config(node), ev, now_us, out);
        break;
    case FW_OWNER_REQUEST:
    case FW_OWNER_REAP:
        Fw_Requests_OnUp(node->requests, ev, now_us, out);
        break;
    default:
        break;
    }
}

static void
on_peer(struct fw_node *node, const struct fw_event_peer *peer, int64_t now_us,
        struct fw_actions *out)
{
    const struct fw_config *cfg = Fw_Node_Config(node);
    const struct fw_msg *msg = peer->msg;
    const struct fw_member *m;

    switch (msg->area) {
    case FW_AREA_FLEET:
        Fw_Fleet_OnMsg(node->fleet, peer->from, &msg->u.fleet, now_us, out);
        break;
    case FW_AREA_LIMIT:
        Fw_Limit_OnMsg(node->limit, cfg, peer->from, &msg->u.limit, now_us,
                       out);
        break;
    case FW_AREA_IDEM:
        Fw_Idem_OnMsg(node->idem, peer->from, &msg->u.idem, now_us, out);
        break;
    case FW_AREA_ROUTE:
        Fw_Router_OnMsg(node->router, cfg, peer->from, &msg->u.route, now_us,
                        out);
        break;
    case FW_AREA_REQUEST:
        Fw_Requests_OnMsg(node->requests, peer->from, &msg->u.request, now_us,
                          out);
        break;
    case FW_AREA_CONFIG:
        m = Fw_Fleet_Find(node->fleet, peer->from);
        if (m) {
            Fw_ConfigReplica_OnMsg(node->replica, peer->from, m->addr,
                                   &msg->u.config, now_us, out);
        }
        break;
    }
}

static struct fw_operate_view
operate_view(const struct fw_node *node)
{
    return (struct fw_operate_view){
        .self = &node->opts.self,
        .replica = node->replica,
        .fleet = node->fleet,
        .router = node->router,
        .requests = node->requests,
        .explain = node->explain,
        .orders = node->orders,
    };
}

static void
on_appended(struct fw_node *node, const struct fw_log_appended *a,
            int64_t now_us, struct fw_actions *out)
{
    const struct fw_operate_view view = operate_view(node);

    switch (Fw_Owner_Of(a->ticket)) {
    case FW_OWNER_CONFIG:
        Fw_ConfigReplica_OnAppended(node->replica, a, now_us, out);
        break;
    case FW_OWNER_ROLES:
        Fw_Roles_OnAppended(node->roles, a, now_us, out);
        break;
    case FW_OWNER_IDEM:
        Fw_Idem_OnAppended(node->idem, a, now_us, out);
        break;
    case FW_OWNER_OPERATE:
        Fw_Operate_OnAppended(node->operate, &view, a, now_us, out);
        break;
    default:
        break;
    }
}

static void
on_records(struct fw_node *node, const struct fw_log_records *r,
           int64_t now_us, struct fw_actions *out)
{
    switch (Fw_Owner_Of(r->ticket)) {
    case FW_OWNER_CONFIG:
        Fw_ConfigReplica_OnRecords(node->replica, r, now_us, out);
        break;
    case FW_OWNER_ROLES:
        Fw_Roles_OnRecords(node->roles, r, now_us, out);
        break;
    case FW_OWNER_IDEM:
        Fw_Idem_OnRecords(node->idem, r, now_us, out);
        break;
    default:
        break;
    }
}

/* Passes answers of the subsystems to the requests until none is left;
 * handling one may produce others. */
static void
dispatch_answers(struct fw_node *node, int64_t now_us, struct fw_actions *out)
{
    struct fw_limit_answer budget;
    struct fw_route_answer pair;
    struct fw_idem_answer idem;
    int more = 1;

    if (Fw_Node_Config(node)->next_offset != node->checked_offset) {
        node->checked_offset = Fw_Node_Config(node)->next_offset;
        Fw_Requests_OnConfig(node->requests, now_us, out);
    }
    while (more) {
        more = 0;
        while (Fw_Limit_TakeAnswer(node->limit, &budget)) {
            Fw_Requests_OnBudget(node->requests, &budget, now_us, out);
            more = 1;
        }
        while (Fw_Route_TakeAnswer(node->router, &pair)) {
            Fw_Requests_OnPair(node->requests, &pair, now_us, out);
            more = 1;
        }
        while (Fw_Idem_TakeAnswer(node->idem, &idem)) {
            Fw_Requests_OnIdem(node->requests, &idem, now_us, out);
            more = 1;
        }
    }
}

int
Fw_Node_Step(struct fw_node *node, const struct fw_event *ev, int64_t now_us,
             struct fw_actions *out)
{
    const struct fw_operate_view view = operate_view(node);
    int rc = 0;

    switch (ev->kind) {
    case FW_EV_TICK:
        Fw_Node_Tick(node, now_us, out);
        break;
    case FW_EV_CALL_OPEN:
        open_call(node, &ev->u.open, now_us, out);
        break;
    case FW_EV_CALL_CLOSED:
        Fw_Requests_OnCallClosed(node->requests, ev->u.closed, now_us, out);
        break;
    case FW_EV_UP:
        on_up(node, &ev->u.up, now_us, out);
        break;
    case FW_EV_PEER:
        on_peer(node, &ev->u.peer, now_us, out);
        break;
    case FW_EV_LOG_APPENDED:
        on_appended(node, &ev->u.appended, now_us, out);
        break;
    case FW_EV_LOG_RECORDS:
        on_records(node, &ev->u.records, now_us, out);
        break;
    case FW_EV_REGISTRY:
        Fw_Fleet_OnListed(node->fleet, &ev->u.listed, now_us, out);
        Fw_Router_OnListed(node->router, &ev->u.listed, now_us);
        break;
    case FW_EV_OPERATOR:
        Fw_Operate_HandleCall(node->operate, &view, &ev->u.oper, now_us, out);
        break;
    case FW_EV_DRAIN:
        Fw_Node_Drain(node, now_us, out);
        break;
    default:
        rc = -EINVAL;
        break;
    }
    dispatch_answers(node, now_us, out);
    Fw_Operate_AnswerPending(node->operate, &view, now_us, out);
    Fw_Node_CheckDrained(node, now_us, out);
    node->open_metric.value = Fw_Requests_Count(node->requests);
    node->wake_us = MIN(node->wake_us, out->wake_us);
    out->wake_us = node->wake_us;
    return rc;
}
