/*
 * Upstream calls on behalf of requests, and the ways a request ends; shared
 * by plain and generation requests.
 */
#include <string.h>

#include "base/hash.h"
#include "relay/relay_internal.h"

struct fw_rl_op *
Fw_Call_Ask(struct fw_relay *r, struct fw_rl_call *c, struct fw_rl_server *s,
            struct fw_rl_up_call *up, int64_t until_us, int64_t now_us,
            struct fw_rl_acts *out)
{
    struct fw_rl_op *op = g_new0(struct fw_rl_op, 1);

    op->xid = ++r->last_xid;
    op->kind = up->kind;
    op->call = c;
    op->server = Fw_Servers_Ref(s);
    op->sent_us = now_us;
    op->until_us = until_us;
    Fw_List_Append(&r->op_list, &op->link);
    g_hash_table_insert(r->ops, &op->xid, op);
    up->xid = op->xid;
    up->call = c ? c->id : 0;
    g_strlcpy(up->addr, s->e.addr, sizeof(up->addr));
    g_strlcpy(up->server, s->e.id, sizeof(up->server));
    Fw_Acts_Add(out, FW_RL_DO_ASK)->u.ask = *up;
    if (c) {
        c->op = op;
    }
    return op;
}

void
Fw_Op_End(struct fw_relay *r, struct fw_rl_op *op)
{
    if (op->call && op->call->op == op) {
        op->call->op = NULL;
    }
    g_hash_table_remove(r->ops, &op->xid);
    Fw_List_Remove(&op->link);
    Fw_Servers_Unref(op->server);
    g_free(op);
}

/*
 * Asks an engine to free a reservation or KV cache. Best effort: both expire
 * by themselves.
 */
static void
free_at_engine(struct fw_relay *r, struct fw_rl_server *s,
               enum fw_rl_up_kind kind, const char *name, int64_t now_us,
               struct fw_rl_acts *out)
{
    struct fw_rl_up_call up = {.kind = kind,
                               .urgency = -1,
                               .whole = 1,
                               .reuse_us = FW_RL_REUSE_US,
                               .connect_us = FW_RL_CONNECT_US};

    if (s->gone) {
        return;
    }
    g_strlcpy(kind == FW_RL_UP_DROP_HOLD ? up.hold : up.kv, name,
              FW_RL_KEY_MAX);
    Fw_Call_Ask(r, NULL, s, &up, now_us + FW_RL_HOUSEKEEPING_US, now_us, out);
}

void
Fw_Call_ReadDone(struct fw_rl_call *c)
{
    if (c->reading && c->reader) {
        c->reader->reading -= c->ask.tokens_in;
        c->reading = 0;
    }
}

static void
leave_prefill_engine(struct fw_rl_call *c)
{
    Fw_Call_ReadDone(c);
    if (c->reader) {
        Fw_Servers_Unref(c->reader);
        c->reader = NULL;
    }
}

void
Fw_Call_LeaveServer(struct fw_rl_call *c)
{
    if (c->server) {
        c->server->running--;
        c->server->reserved -= c->need;
        Fw_Servers_Unref(c->server);
        c->server = NULL;
    }
}

/* A prefill that is still in progress has no KV cache to free yet. */
void
Fw_Call_Release(struct fw_relay *r, struct fw_rl_call *c, int64_t now_us,
                struct fw_rl_acts *out)
{
    if (c->op) {
        Fw_Acts_Add(out, FW_RL_DO_STOP_ASK)->u.xid = c->op->xid;
        Fw_Op_End(r, c->op);
    }
    if (c->kv[0] && c->reader) {
        free_at_engine(r, c->reader, FW_RL_UP_DROP_KV, c->kv, now_us, out);
    }
    if (c->hold[0] && c->server) {
        free_at_engine(r, c->server, FW_RL_UP_DROP_HOLD, c->hold, now_us, out);
    }
    c->kv[0] = 0;
    c->hold[0] = 0;
    leave_prefill_engine(c);
    Fw_Call_LeaveServer(c);
}

void
Fw_Call_End(struct fw_relay *r, struct fw_rl_call *c, int64_t now_us,
            struct fw_rl_acts *out)
{
    Fw_Call_Release(r, c, now_us, out);
    if (c->item.team) {
        Fw_Queue_Remove(&r->queue, &c->item);
    }
    if (c->ran == FW_RAN_NO && c->paid) {
        Fw_Allowance_Return(r, c->team, c->cost);
    }
    g_hash_table_remove(r->calls, &c->id);
    Fw_List_Remove(&c->link);
    g_free(c);
    if (r->queue.n) {
        Fw_Stream_Pump(r, now_us, out);
    }
}

void
Fw_Call_Refuse(struct fw_relay *r, struct fw_rl_call *c, int status,
               int64_t retry_us, const char *reason, int64_t now_us,
               struct fw_rl_acts *out)
{
    struct fw_rl_act *a;

    /* 429 and 503 guarantee that the request has not run and will not. */
    if (c->ran != FW_RAN_NO && (status == 503 || status == 429)) {
        status = 502;
    }
    Fw_Relay_CountReason(r, reason);
    if (status == 502 || status == 504) {
        retry_us = 0;
        r->n.failed.value++;
    }
    else {
        r->n.refused.value++;
    }
    Fw_Acts_Log(out, r, LOG_WARNING, "refused",
                "\"id\":\"%s\",\"route\":\"%s\",\"team\":\"%s\","
                "\"status\":%d,\"reason\":\"%s\",\"ran\":\"%s\","
                "\"cost\":%" G_GINT64_FORMAT ","
                "\"tries\":%d,\"after_ms\":%" G_GINT64_FORMAT
                ",\"retry_ms\":%" G_GINT64_FORMAT,
                c->ask.id, c->route.name, c->team, status, reason,
                Fw_Ran_Name(c->ran), c->cost, c->tries,
                Fw_Relay_Ms(now_us - c->opened_us), Fw_Relay_Ms(retry_us));
    a = Fw_Acts_Add(out, FW_RL_DO_REFUSE);
    a->u.refuse = (struct fw_rl_refusal){.call = c->id,
                                         .status = status,
                                         .retry_us = retry_us,
                                         .reason = reason,
                                         .ran = c->ran};
    Fw_Call_End(r, c, now_us, out);
}

void
Fw_Call_Pass(struct fw_relay *r, struct fw_rl_call *c, int64_t now_us,
             struct fw_rl_acts *out)
{
    struct fw_rl_act *a = Fw_Acts_Add(out, FW_RL_DO_PASS);

    a->u.pass.call = c->id;
    a->u.pass.xid = c->op->xid;
    c->passed = 1;
    c->first_us = now_us;
    c->ran = FW_RAN_YES;
    Fw_Histogram_Add(&r->n.first_s, now_us - c->opened_us);
    r->n.passed.value++;
}

/* Milliseconds from @c's arrival to @us, or -1 if @us is unset. */
static int64_t
ms_since_arrival(const struct fw_rl_call *c, int64_t us)
{
    return us ? Fw_Relay_Ms(us - c->opened_us) : -1;
}

/* Sampled by the request's id: all its log lines are kept, or none. */
int
Fw_Call_Severity(const struct fw_relay *r, const struct fw_rl_call *c)
{
    uint64_t sample = (uint64_t)MAX(r->opts.log_sample, 1);

    return Fw_Hash_Str(c->ask.id) % sample == 0 ? LOG_INFO : LOG_DEBUG;
}

void
Fw_Call_Finish(struct fw_relay *r, struct fw_rl_call *c, int whole,
               int64_t now_us, struct fw_rl_acts *out)
{
    if (whole) {
        Fw_Histogram_Add(&r->n.whole_s, now_us - c->opened_us);
    }
    else {
        r->n.cut.value++;
    }
    Fw_Acts_Log(
        out, r, whole ? LOG_INFO : LOG_WARNING, whole ? "answered" : "cut",
        "\"id\":\"%s\",\"route\":\"%s\",\"server\":\"%s\","
        "\"tries\":%d,\"room_ms\":%" G_GINT64_FORMAT
        ",\"sent_ms\":%" G_GINT64_FORMAT ",\"first_ms\":%" G_GINT64_FORMAT
        ",\"took_ms\":%" G_GINT64_FORMAT,
        c->ask.id, c->route.name, c->server ? c->server->e.id : "", c->tries,
        ms_since_arrival(c, c->room_us), ms_since_arrival(c, c->run_us),
        ms_since_arrival(c, c->first_us), Fw_Relay_Ms(now_us - c->opened_us));
    Fw_Acts_Add(out, whole ? FW_RL_DO_FINISH : FW_RL_DO_CUT)->u.call = c->id;
    Fw_Call_End(r, c, now_us, out);
}
