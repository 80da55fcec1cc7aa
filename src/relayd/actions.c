/* Executes the core's actions. */
#include "base/fault.h"
#include "http/conn.h"
#include "io/logger.h"
#include "relayd/relayd_internal.h"

static struct fw_caller_request *
find_request(const struct fw_relayd *d, uint64_t call)
{
    return g_hash_table_lookup(d->requests_by_id, &call);
}

static void
remove_request(struct fw_relayd *d, struct fw_caller_request *c)
{
    g_hash_table_remove(d->requests_by_caller, c->caller);
    g_hash_table_remove(d->requests_by_id, &c->id);
}

static void
reject(struct fw_relayd *d, const struct fw_rl_rejection *r)
{
    struct fw_caller_request *c = find_request(d, r->call);
    struct fw_http_caller *caller;
    GString *fields;
    GString *body;

    if (!c) {
        return;
    }
    fields = g_string_new(NULL);
    body = g_string_new(NULL);
    Fw_Platform_WriteRejection(r, c->request_id, fields, body);
    caller = c->caller;
    remove_request(d, c);
    Fw_Caller_Respond(caller, r->status, fields->str, body->str);
    g_string_free(fields, TRUE);
    g_string_free(body, TRUE);
}

static void
forward(struct fw_relayd *d, uint64_t call, uint64_t xid)
{
    struct fw_caller_request *c = find_request(d, call);
    struct fw_upstream_call *upstream =
        g_hash_table_lookup(d->upstream_calls, &xid);

    if (c && upstream) {
        Fw_UpstreamCall_Forward(upstream, c);
    }
}

static void
end_response(struct fw_relayd *d, uint64_t call, int complete)
{
    struct fw_caller_request *c = find_request(d, call);
    struct fw_http_caller *caller;

    if (!c) {
        return;
    }
    caller = c->caller;
    remove_request(d, c);
    if (complete) {
        Fw_Caller_End(caller);
    }
    else {
        Fw_Caller_Abort(caller);
    }
}

static void
execute(struct fw_relayd *d, const struct fw_rl_action *a)
{
    switch (a->kind) {
    case FW_RL_DO_REJECT:
        reject(d, &a->u.rejection);
        break;
    case FW_RL_DO_FORWARD:
        forward(d, a->u.forward.call, a->u.forward.xid);
        break;
    case FW_RL_DO_FINISH:
        end_response(d, a->u.call, 1);
        break;
    case FW_RL_DO_ABORT:
        end_response(d, a->u.call, 0);
        break;
    case FW_RL_DO_CALL:
        Fw_UpstreamCall_Start(d, &a->u.upstream_call);
        break;
    case FW_RL_DO_CANCEL_CALL:
        if (!FW_FAULT("calls-not-cancelled")) {
            Fw_UpstreamCall_Remove(d, a->u.xid);
        }
        break;
    case FW_RL_DO_CLAIM_ROLE:
        Fw_StoreClient_ClaimLeadership(d->store, a->u.claim_offset);
        break;
    case FW_RL_DO_CLOSE_IDLE:
        Fw_ConnPool_CloseIdle(d->pool, a->u.addr);
        break;
    case FW_RL_DO_LOG:
        Fw_Logger_LogJsonFields(a->u.log.severity, a->u.log.event,
                                a->u.log.text);
        break;
    }
}

void
Fw_Relayd_ExecuteActions(struct fw_relayd *d, struct fw_rl_actions *acts)
{
    for (;;) {
        uint64_t *xid;

        for (guint i = 0; i < acts->all->len; i++) {
            execute(d, &g_array_index(acts->all, struct fw_rl_action, i));
        }
        g_array_set_size(acts->all, 0);
        xid = g_queue_pop_head(&d->failed_calls);
        if (!xid) {
            break;
        }
        Fw_UpstreamCall_ReportFailed(d, *xid, acts);
        g_free(xid);
    }
    Fw_RelayActions_Clear(acts);
    Fw_PeerSocket_SendDue(d);
}
