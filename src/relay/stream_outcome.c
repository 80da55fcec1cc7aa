/* Outcomes of the calls to engines that serve a generation request. */
#include <errno.h>

#include "relay/relay_internal.h"
#include "relay/stream.h"

static void
reservation_answered(struct fw_relay *r, struct fw_rl_call *c,
                     struct fw_rl_server *s,
                     const struct fw_rl_upstream_response *ans, int64_t now_us,
                     struct fw_rl_actions *out)
{
    if (ans->status == 200 && ans->handle[0]) {
        g_strlcpy(c->reservation, ans->handle, sizeof(c->reservation));
        c->reserved_us = now_us;
        Fw_ServiceDemand_SetWaiting(r, c, 0);
        Fw_Histogram_Add(&r->relay_metrics.queued_s, now_us - c->opened_us);
        Fw_Servers_NoteResponse(s, 0, -1);
        Fw_Stream_StartPrefill(r, c, now_us, out);
        return;
    }
    r->relay_metrics.reservations_rejected.value++;
    if (ans->wrong_server) {
        Fw_Servers_NoteUnreachable(s, now_us);
    }
    s->full_us = now_us;
    s->full_tokens = c->kv_tokens;
    Fw_Call_DetachServer(c);
    Fw_Stream_Requeue(r, c, now_us, out);
}

static void
prefill_answered(struct fw_relay *r, struct fw_rl_call *c,
                 struct fw_rl_server *s,
                 const struct fw_rl_upstream_response *ans, int64_t took_us,
                 int64_t now_us, struct fw_rl_actions *out)
{
    Fw_Call_EndPrefill(c);
    if (ans->status == 200 && ans->handle[0]) {
        Fw_ServiceStats_NotePrefill(
            Fw_ServiceStats_Get(r, c->service),
            Fw_Speeds_MeanTokens(s, c->prefill_queue_tokens), took_us);
        Fw_Speeds_NotePrefill(r, c, s, took_us);
        Fw_Servers_NoteResponse(s, 0, -1);
        Fw_Histogram_Add(&r->relay_metrics.prefill_s, now_us - c->reserved_us);
        g_strlcpy(c->kv_handle, ans->handle, sizeof(c->kv_handle));
        g_strlcpy(c->kv_addr, s->entry.addr, sizeof(c->kv_addr));
        Fw_Stream_SendRun(r, c, now_us, out);
        return;
    }
    s->full_us = now_us;
    s->full_tokens = 0;
    if (ans->wrong_server) {
        Fw_Servers_NoteUnreachable(s, now_us);
    }
    Fw_Stream_RetryPrefill(r, c, now_us, out);
}

static void
run_answered(struct fw_relay *r, struct fw_rl_call *c,
             const struct fw_rl_upstream_response *ans, int64_t now_us,
             struct fw_rl_actions *out)
{
    if (c->is_forwarded) {
        Fw_KvDemand_NoteStreamEnd(r, c, ans->events, now_us);
        Fw_Speeds_NoteStream(r, c, ans->events, now_us);
        Fw_Call_Finish(r, c, 1, now_us, out);
        return;
    }
    if (ans->wrong_server) {
        Fw_Servers_NoteUnreachable(c->server, now_us);
    }
    else {
        Fw_Servers_NoteRejectedRun(c->server, now_us);
    }
    c->attempts--;
    c->is_declined = 1;
    Fw_Stream_Restart(r, c, "engine_full", now_us, out);
}

void
Fw_Stream_HandleResponse(struct fw_relay *r, struct fw_rl_op *op,
                         const struct fw_rl_upstream_response *ans,
                         int64_t now_us, struct fw_rl_actions *out)
{
    struct fw_rl_call *c = op->call;
    struct fw_rl_server *s = Fw_Servers_Ref(op->server);
    enum fw_rl_upstream_kind kind = op->kind;
    int64_t took_us = now_us - op->sent_us;

    Fw_Op_End(r, op);
    c->calls_received += kind != FW_RL_UP_RESERVE;
    if (kind == FW_RL_UP_RESERVE) {
        reservation_answered(r, c, s, ans, now_us, out);
    }
    else if (kind == FW_RL_UP_PREFILL) {
        prefill_answered(r, c, s, ans, took_us, now_us, out);
    }
    else {
        run_answered(r, c, ans, now_us, out);
    }
    Fw_Servers_Unref(s);
}

/* @c may have run at its engine, of which nothing has reached the caller. */
static void
run_lost(struct fw_relay *r, struct fw_rl_call *c, const char *reason,
         int64_t now_us, struct fw_rl_actions *out)
{
    c->ran = MAX(c->ran, FW_RAN_MAYBE);
    c->reservation[0] = 0;
    c->kv_handle[0] = 0;
    if (now_us >= c->deadline_us) {
        Fw_Call_Reject(r, c, 504, 0, "timeout", now_us, out);
    }
    else if (c->route->resumable && c->attempts < c->route->attempts) {
        Fw_Stream_Restart(r, c, reason, now_us, out);
    }
    else {
        Fw_Call_Reject(r, c, 502, 0, reason, now_us, out);
    }
}

static void
run_failed(struct fw_relay *r, struct fw_rl_call *c, int sent, int64_t now_us,
           struct fw_rl_actions *out)
{
    if (c->is_forwarded) {
        Fw_Call_Finish(r, c, 0, now_us, out);
    }
    else if (!sent) {
        c->attempts--;
        Fw_Stream_Restart(r, c, "engine_unreachable", now_us, out);
    }
    else {
        run_lost(r, c, "engine_lost", now_us, out);
    }
}

void
Fw_Stream_HandleRefusal(struct fw_relay *r, struct fw_rl_op *op,
                        int64_t now_us, struct fw_rl_actions *out)
{
    struct fw_rl_call *c = op->call;

    Fw_Op_End(r, op);
    c->calls_received++;
    run_lost(r, c, "engine_refused", now_us, out);
}

void
Fw_Stream_HandleFailure(struct fw_relay *r, struct fw_rl_op *op, int err,
                        int sent, int64_t now_us, struct fw_rl_actions *out)
{
    struct fw_rl_call *c = op->call;
    struct fw_rl_server *s = Fw_Servers_Ref(op->server);
    enum fw_rl_upstream_kind kind = op->kind;

    Fw_Op_End(r, op);
    c->calls_received += sent && kind != FW_RL_UP_RESERVE;
    c->n_unconnected += !sent;
    if (sent && kind != FW_RL_UP_RUN && err == -ETIMEDOUT) {
        Fw_Servers_NoteTimeout(s, now_us);
    }
    else if (!sent || kind != FW_RL_UP_RUN) {
        Fw_Servers_NoteUnreachable(s, now_us);
    }
    if (sent && kind != FW_RL_UP_RESERVE && err != -ETIMEDOUT) {
        Fw_Crashes_NoteDisconnect(r, c, s, now_us, out);
    }
    if (kind == FW_RL_UP_RESERVE) {
        s->full_us = now_us;
        s->full_tokens = 0;
        Fw_Call_DetachServer(c);
        Fw_Stream_Requeue(r, c, now_us, out);
    }
    else if (kind == FW_RL_UP_PREFILL) {
        Fw_Call_EndPrefill(c);
        Fw_Stream_RetryPrefill(r, c, now_us, out);
    }
    else {
        run_failed(r, c, sent, now_us, out);
    }
    Fw_Servers_Unref(s);
}
