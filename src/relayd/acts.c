/* Carries out the core's actions. */
#include <errno.h>

#include "http/conn.h"
#include "io/note.h"
#include "relayd/relayd_internal.h"

static struct fw_caller_rec *
caller_named(const struct fw_relayd *d, uint64_t call)
{
    return g_hash_table_lookup(d->by_call, &call);
}

static void
forget_caller(struct fw_relayd *d, struct fw_caller_rec *c)
{
    g_hash_table_remove(d->by_caller, c->caller);
    g_hash_table_remove(d->by_call, &c->id);
}

static void
refuse(struct fw_relayd *d, const struct fw_rl_rejection *r)
{
    struct fw_caller_rec *c = caller_named(d, r->call);
    struct fw_http_caller *caller;
    GString *fields;
    GString *body;

    if (!c) {
        return;
    }
    fields = g_string_new(NULL);
    body = g_string_new(NULL);
    Fw_Platform_WriteRefusal(r, c->request_id, fields, body);
    caller = c->caller;
    forget_caller(d, c);
    Fw_Caller_Answer(caller, r->status, fields->str, body->str);
    g_string_free(fields, TRUE);
    g_string_free(body, TRUE);
}

static void
pass(struct fw_relayd *d, uint64_t call, uint64_t xid)
{
    struct fw_caller_rec *c = caller_named(d, call);
    struct fw_up_rec *rec = g_hash_table_lookup(d->ups, &xid);

    if (c && rec) {
        Fw_Up_Pass(rec, c);
    }
}

static void
finish(struct fw_relayd *d, uint64_t call, int whole)
{
    struct fw_caller_rec *c = caller_named(d, call);
    struct fw_http_caller *caller;

    if (!c) {
        return;
    }
    caller = c->caller;
    forget_caller(d, c);
    if (whole) {
        Fw_Caller_End(caller);
    }
    else {
        Fw_Caller_Cut(caller);
    }
}

static void
do_one(struct fw_relayd *d, const struct fw_rl_action *a)
{
    switch (a->kind) {
    case FW_RL_DO_REJECT:
        refuse(d, &a->u.refuse);
        break;
    case FW_RL_DO_FORWARD:
        pass(d, a->u.pass.call, a->u.pass.xid);
        break;
    case FW_RL_DO_FINISH:
        finish(d, a->u.call, 1);
        break;
    case FW_RL_DO_ABORT:
        finish(d, a->u.call, 0);
        break;
    case FW_RL_DO_CALL:
        Fw_Up_Start(d, &a->u.ask);
        break;
    case FW_RL_DO_CANCEL_CALL:
        Fw_Up_Stop(d, a->u.xid);
        break;
    case FW_RL_DO_CLAIM_ROLE:
        Fw_Store_Claim(d->store, a->u.lead_end);
        break;
    case FW_RL_DO_CLOSE_IDLE:
        Fw_Pool_Forget(d->pool, a->u.addr);
        break;
    case FW_RL_DO_LOG:
        Fw_Note_Members(a->u.log.severity, a->u.log.event, a->u.log.text);
        break;
    }
}

void
Fw_Relayd_CarryOut(struct fw_relayd *d, struct fw_rl_actions *acts)
{
    for (;;) {
        uint64_t *xid;

        for (guint i = 0; i < acts->all->len; i++) {
            do_one(d, &g_array_index(acts->all, struct fw_rl_action, i));
        }
        g_array_set_size(acts->all, 0);
        xid = g_queue_pop_head(&d->failed);
        if (!xid) {
            break;
        }
        Fw_Relay_UpstreamFailed(d->relay, *xid, -ECONNREFUSED, 0,
                                Fw_Conn_Now(), acts);
        Fw_Up_Stop(d, *xid);
        g_free(xid);
    }
    Fw_RelayActions_Clear(acts);
    Fw_Peer_Send(d);
}
