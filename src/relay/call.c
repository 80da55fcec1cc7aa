/*
 * Upstream calls on behalf of requests, and the ways a request ends; shared
 * by plain and generation requests.
 */
#include <string.h>

#include "base/hash.h"
#include "decide/plain_admission.h"
#include "decide/refusal.h"
#include "relay/relay_internal.h"

static struct fw_rl_op *
start_op(struct fw_relay *r, struct fw_rl_call *c,
         struct fw_rl_upstream_call *up, int64_t until_us, int64_t now_us,
         struct fw_rl_actions *out)
{
    struct fw_rl_op *op = g_new0(struct fw_rl_op, 1);

    op->xid = ++r->last_xid;
    op->kind = up->kind;
    op->call = c;
    op->sent_us = now_us;
    op->deadline_us = until_us;
    Fw_List_Append(&r->op_list, &op->link);
    g_hash_table_insert(r->ops, &op->xid, op);
    up->xid = op->xid;
    up->call = c ? c->id : 0;
    Fw_RelayActions_AddCall(out, up);
    if (c) {
        c->op = op;
    }
    return op;
}

struct fw_rl_op *
Fw_Call_Upstream(struct fw_relay *r, struct fw_rl_call *c,
                 struct fw_rl_server *s, struct fw_rl_upstream_call *up,
                 int64_t until_us, int64_t now_us, struct fw_rl_actions *out)
{
    struct fw_rl_op *op;

    g_strlcpy(up->addr, s->entry.addr, sizeof(up->addr));
    up->server = s->entry.id;
    op = start_op(r, c, up, until_us, now_us, out);
    op->server = Fw_Servers_Ref(s);
    Fw_Admission_NoteSent(s, now_us);
    Fw_Servers_Activate(r, s);
    return op;
}

void
Fw_Call_Handover(struct fw_relay *r, struct fw_rl_call *c,
                 const struct fw_rl_member *m, struct fw_rl_upstream_call *up,
                 int64_t now_us, struct fw_rl_actions *out)
{
    g_strlcpy(up->addr, m->addr, sizeof(up->addr));
    start_op(r, c, up, c->deadline_us, now_us, out)->instance = m->hash;
}

void
Fw_Op_End(struct fw_relay *r, struct fw_rl_op *op)
{
    if (op->call && op->call->op == op) {
        op->call->op = NULL;
    }
    g_hash_table_remove(r->ops, &op->xid);
    Fw_List_Remove(&op->link);
    if (op->server) {
        Fw_Servers_Unref(op->server);
    }
    g_free(op);
}

/*
 * Asks an engine to free a reservation or KV cache. Best effort: both expire
 * by themselves.
 */
static void
free_at_engine(struct fw_relay *r, struct fw_rl_server *s,
               enum fw_rl_upstream_kind kind, const char *name, int64_t now_us,
               struct fw_rl_actions *out)
{
    struct fw_rl_upstream_call up = {.kind = kind,
                                     .priority = -1,
                                     .buffer_response = 1,
                                     .reuse_us = FW_RL_REUSE_US,
                                     .connect_us = FW_RL_CONNECT_TIMEOUT_US};

    if (s->gone || !Fw_Admission_MayFollow(r, s, now_us)) {
        return;
    }
    g_strlcpy(kind == FW_RL_UP_RELEASE ? up.reservation : up.kv_handle, name,
              FW_RL_HANDLE_MAX);
    Fw_Call_Upstream(r, NULL, s, &up, now_us + FW_RL_RELEASE_TIMEOUT_US,
                     now_us, out);
}

void
Fw_Call_EndPrefill(struct fw_rl_call *c)
{
    if (c->is_prefilling && c->prefill_server) {
        c->prefill_server->prefill_tokens -= c->info.tokens_in;
        c->is_prefilling = 0;
    }
}

static void
leave_prefill_engine(struct fw_rl_call *c)
{
    Fw_Call_EndPrefill(c);
    if (c->prefill_server) {
        Fw_Servers_Unref(c->prefill_server);
        c->prefill_server = NULL;
    }
}

void
Fw_Call_DetachServer(struct fw_rl_call *c)
{
    if (c->server) {
        Fw_Admission_EndReservation(c);
        c->server->running--;
        c->server->kv_tokens -= c->kv_tokens;
        Fw_Servers_Unref(c->server);
        c->server = NULL;
    }
}

/* A prefill that is still in progress has no KV cache to free yet. */
void
Fw_Call_Release(struct fw_relay *r, struct fw_rl_call *c, int64_t now_us,
                struct fw_rl_actions *out)
{
    if (c->op) {
        Fw_RelayActions_Add(out, FW_RL_DO_CANCEL_CALL)->u.xid = c->op->xid;
        Fw_Op_End(r, c->op);
    }
    if (c->kv_handle[0] && c->prefill_server) {
        free_at_engine(r, c->prefill_server, FW_RL_UP_FREE_KV, c->kv_handle,
                       now_us, out);
    }
    Fw_Admission_EndReservation(c);
    if (c->reservation[0] && c->server) {
        free_at_engine(r, c->server, FW_RL_UP_RELEASE, c->reservation, now_us,
                       out);
    }
    c->kv_handle[0] = 0;
    c->reservation[0] = 0;
    leave_prefill_engine(c);
    Fw_Call_DetachServer(c);
}

void
Fw_Call_End(struct fw_relay *r, struct fw_rl_call *c, int64_t now_us,
            struct fw_rl_actions *out)
{
    if (c->kv_tokens && c->server && c->reserved_us) {
        Fw_Demand_NoteEnded(r->service_demand.demand, c->service_hash,
                            c->priority, c->kv_tokens, now_us);
    }
    Fw_Call_Release(r, c, now_us, out);
    if (c->item.team) {
        Fw_Queue_Remove(&r->queue, &c->item);
    }
    Fw_ServiceDemand_SetWaiting(r, c, 0);
    Fw_Starting_Forget(r, c);
    if (c->ran == FW_RAN_NO && c->is_charged) {
        Fw_Allowance_Refund(r, c->team, c->cost);
    }
    g_hash_table_remove(r->calls, &c->id);
    Fw_List_Remove(&c->link);
    Fw_RequestInfo_Forget(&c->info);
    g_free((char *)c->info.id);
    Fw_Rules_Unref(c->rules);
    Fw_Rules_Unref(c->team_rules);
    g_free(c);
    if (r->queue.n) {
        Fw_Stream_PlaceQueued(r, now_us, out);
    }
}

/* Whether a rejection is about the request and not about this instance. */
static int
can_serve(const struct fw_relay *r, const struct fw_rl_call *c, int64_t now_us)
{
    return r->rules && !r->draining && Fw_Relay_MayServe(r, c, now_us) &&
           !Fw_Links_AreLostFor(r, c, now_us) && !Fw_Handover_IsUnconnected(c);
}

/*
 * Whether the instance that has handed over @c may give it to another one: it
 * is not sent again beyond the retry budget.
 */
static int
refuses_handover(const struct fw_relay *r, const struct fw_rl_call *c,
                 int64_t now_us)
{
    return c->info.is_handed_over && c->ran == FW_RAN_NO &&
           c->calls_received == c->calls_charged && !can_serve(r, c, now_us);
}

int64_t
Fw_Call_LeftUs(const struct fw_rl_call *c, int64_t now_us)
{
    return c->info.timeout_us > 0 ? c->opened_us + c->info.timeout_us - now_us
                                  : c->deadline_us - now_us;
}

/* A stream's caller keeps time for its retry, as a plain request's does. */
static int64_t
bounded_retry_us(const struct fw_relay *r, const struct fw_rl_call *c,
                 int64_t retry_us, int64_t now_us)
{
    if (!r->opts.admission_forecast || c->kv_tokens <= 0) {
        return retry_us;
    }
    return MIN(retry_us,
               Fw_PlainAdmission_LongestRetryUs(Fw_Call_LeftUs(c, now_us)));
}

/* Whether @c has been sent to where it runs, and has no response yet. */
static int
is_at_server(const struct fw_rl_call *c)
{
    return c->op &&
           (c->op->kind == FW_RL_UP_RUN || c->op->kind == FW_RL_UP_HANDOVER);
}

void
Fw_Call_Reject(struct fw_relay *r, struct fw_rl_call *c, int status,
               int64_t retry_us, const char *reason, int64_t now_us,
               struct fw_rl_actions *out)
{
    struct fw_rl_action *a;
    char wait[32] = "";

    if (is_at_server(c)) {
        c->ran = MAX(c->ran, FW_RAN_MAYBE);
    }
    if (!Fw_Refusal_IsTrue(status, c->ran)) {
        status = 502;
    }
    if (status == 504) {
        Fw_KindTimes_NoteEnd(r, c, now_us);
    }
    Fw_Relay_CountRejection(r, reason);
    Fw_Ranks_Count(r, c, FW_RL_RANK_REJECTED);
    if (status == 502 || status == 504) {
        retry_us = 0;
        r->relay_metrics.failed.value++;
    }
    else {
        r->relay_metrics.rejected.value++;
        retry_us = c->is_too_late ? FW_RL_RETRY_ELSEWHERE_US
                                  : bounded_retry_us(r, c, retry_us, now_us);
    }
    if (c->is_wait_known) {
        g_snprintf(wait, sizeof(wait), ",\"wait_ms\":%" G_GINT64_FORMAT,
                   Fw_Relay_UsToMs(c->expected_wait_us));
    }
    Fw_RelayActions_Log(out, r, LOG_WARNING, "refused",
                        "\"id\":\"%s\",\"route\":\"%s\",\"team\":\"%s\","
                        "\"status\":%d,\"reason\":\"%s\",\"ran\":\"%s\","
                        "\"cost\":%" G_GINT64_FORMAT ","
                        "\"tries\":%d,\"after_ms\":%" G_GINT64_FORMAT
                        ",\"retry_ms\":%" G_GINT64_FORMAT "%s",
                        c->info.id, c->route->name, c->team, status, reason,
                        Fw_Ran_Name(c->ran), c->cost, c->attempts,
                        Fw_Relay_UsToMs(now_us - c->opened_us),
                        Fw_Relay_UsToMs(retry_us), wait);
    a = Fw_RelayActions_Add(out, FW_RL_DO_REJECT);
    a->u.rejection = (struct fw_rl_rejection){.call = c->id,
                                              .status = status,
                                              .retry_us = retry_us,
                                              .reason = reason,
                                              .ran = c->ran};
    if (refuses_handover(r, c, now_us)) {
        a->u.rejection.refuses_handover = 1;
        Fw_Relay_Uncount(r, c, now_us);
    }
    Fw_Call_End(r, c, now_us, out);
}

void
Fw_Call_Forward(struct fw_relay *r, struct fw_rl_call *c, int64_t now_us,
                struct fw_rl_actions *out)
{
    struct fw_rl_action *a = Fw_RelayActions_Add(out, FW_RL_DO_FORWARD);

    a->u.forward.call = c->id;
    a->u.forward.xid = c->op->xid;
    c->is_forwarded = 1;
    c->response_us = now_us;
    c->ran = FW_RAN_YES;
    Fw_Histogram_Add(&r->relay_metrics.response_s, now_us - c->opened_us);
    r->relay_metrics.forwarded.value++;
}

/* Milliseconds from @c's arrival to @us, or -1 if @us is unset. */
static int64_t
ms_since_arrival(const struct fw_rl_call *c, int64_t us)
{
    return us ? Fw_Relay_UsToMs(us - c->opened_us) : -1;
}

/* Sampled by the request's id: all its log lines are kept, or none. */
int
Fw_Call_LogSeverity(const struct fw_relay *r, const struct fw_rl_call *c)
{
    uint64_t sample = (uint64_t)MAX(r->opts.log_sample, 1);

    return Fw_Hash_Str(c->info.id) % sample == 0 ? LOG_INFO : LOG_DEBUG;
}

void
Fw_Call_Finish(struct fw_relay *r, struct fw_rl_call *c, int whole,
               int64_t now_us, struct fw_rl_actions *out)
{
    if (whole) {
        Fw_Crashes_NoteSound(r, c, now_us);
        Fw_KindTimes_NoteEnd(r, c, now_us);
        Fw_Histogram_Add(&r->relay_metrics.total_s, now_us - c->opened_us);
    }
    else {
        r->relay_metrics.aborted.value++;
    }
    Fw_RelayActions_Log(
        out, r, whole ? LOG_INFO : LOG_WARNING, whole ? "answered" : "cut",
        "\"id\":\"%s\",\"route\":\"%s\",\"server\":\"%s\",\"status\":%d,"
        "\"tries\":%d,\"room_ms\":%" G_GINT64_FORMAT
        ",\"sent_ms\":%" G_GINT64_FORMAT ",\"first_ms\":%" G_GINT64_FORMAT
        ",\"took_ms\":%" G_GINT64_FORMAT,
        c->info.id, c->route->name, c->server ? c->server->entry.id : "",
        c->status, c->attempts, ms_since_arrival(c, c->reserved_us),
        ms_since_arrival(c, c->sent_us), ms_since_arrival(c, c->response_us),
        Fw_Relay_UsToMs(now_us - c->opened_us));
    Fw_RelayActions_Add(out, whole ? FW_RL_DO_FINISH : FW_RL_DO_ABORT)
        ->u.call = c->id;
    Fw_Call_End(r, c, now_us, out);
}
