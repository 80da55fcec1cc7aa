/*
 * Requests that this instance hands over to another one, as its own links to
 * the servers that they need are lost, or their tries have reached none. The
 * other instance serves them like a request of a caller of its own: it checks
 * key, allowance, budgets and limits, and counts them; this one charges no
 * allowance and takes back what it has counted. The other instance does not
 * hand them over again.
 */
#include <string.h>

#include "base/fault.h"
#include "base/hash.h"
#include "decide/refusal.h"
#include "relay/relay_internal.h"

/* Instances that one request is handed to, one after the other. */
#define FW_HANDOVERS_MAX 4
/* Those of them that are drawn at random among all instances. */
#define FW_HANDOVERS_AT_RANDOM 2
/* Time for which an instance that has served a request is known to do so. */
#define FW_KNOWN_TAKER_US (2 * FW_SEC)
/* Time for which an instance that has refused a request is not asked again. */
#define FW_REFUSED_PAUSE_US (500 * FW_MSEC)
/* The same for one that could not be reached, or was lost with a request. */
#define FW_UNREACHABLE_PAUSE_US (3 * FW_SEC)

static uint64_t
region_of(const struct fw_relay *r, uint64_t domain)
{
    for (int i = 0; i < r->opts.regions.n; i++) {
        if (r->opts.regions.domain[i] == domain) {
            return r->opts.regions.region[i];
        }
    }
    return 0;
}

/* A request may have to stay in the region that its caller has sent it to. */
static int
is_in_own_region(const struct fw_relay *r, const struct fw_rl_member *m)
{
    return region_of(r, m->domain) ==
           Fw_Regions_OfDomain(&r->opts.regions, r->opts.domain);
}

static int
may_take(const struct fw_relay *r, const struct fw_rl_member *m,
         int64_t now_us)
{
    return m->addr[0] && !m->unreachable_since_us &&
           now_us >= m->no_handover_until_us && is_in_own_region(r, m);
}

static int
has_refused(const struct fw_rl_member *m, uint64_t service, int64_t now_us)
{
    return now_us < m->refused_until_us &&
           (!m->refused_service || m->refused_service == service);
}

/*
 * Drawn at random, so that the load spreads. After some refusals one that has
 * taken requests is preferred: most instances may be cut off. Each request is
 * offered once to an instance that has refused others lately if there is no
 * other one.
 */
static struct fw_rl_member *
choose_instance(struct fw_relay *r, const struct fw_rl_call *c, int64_t now_us)
{
    uint64_t service = Fw_Hash_Str(c->service);
    int prefers_known = c->handovers >= FW_HANDOVERS_AT_RANDOM;
    struct fw_rl_member *chosen = NULL;
    struct fw_rl_member *refusing = NULL;
    struct fw_list *pos;
    int n = 0;
    int n_refusing = 0;

    FW_LIST_EACH (pos, &r->members) {
        struct fw_rl_member *m = FW_LIST_ENTRY(pos, struct fw_rl_member, link);

        if (!may_take(r, m, now_us)) {
            continue;
        }
        if (has_refused(m, service, now_us)) {
            if (!c->handovers &&
                g_rand_int_range(r->rand, 0, ++n_refusing) == 0) {
                refusing = m;
            }
            continue;
        }
        if (prefers_known && m->took_over_us &&
            now_us - m->took_over_us < FW_KNOWN_TAKER_US) {
            return m;
        }
        if (g_rand_int_range(r->rand, 0, ++n) == 0) {
            chosen = m;
        }
    }
    return chosen ? chosen : refusing;
}

static struct fw_rl_member *
find_instance(const struct fw_relay *r, uint64_t hash)
{
    struct fw_list *pos;

    FW_LIST_EACH (pos, &r->members) {
        struct fw_rl_member *m = FW_LIST_ENTRY(pos, struct fw_rl_member, link);

        if (m->hash == hash) {
            return m;
        }
    }
    return NULL;
}

static void
pause_instance(struct fw_relay *r, uint64_t hash, int64_t until_us)
{
    struct fw_rl_member *m = find_instance(r, hash);

    if (m) {
        m->no_handover_until_us = until_us;
    }
}

/*
 * An instance that refuses requests for one service may have its links to the
 * servers of others. If this one has lost all its links, the other one is more
 * likely to have lost them as well.
 */
static void
note_refusal(struct fw_relay *r, uint64_t hash, const char *service,
             int64_t now_us)
{
    struct fw_rl_member *m = find_instance(r, hash);

    if (m) {
        m->refused_service =
            Fw_Links_AreAllLost(r, now_us) ? 0 : Fw_Hash_Str(service);
        m->refused_until_us = now_us + FW_REFUSED_PAUSE_US;
    }
}

static void
send_to(struct fw_relay *r, struct fw_rl_call *c, const struct fw_rl_member *m,
        int64_t now_us, struct fw_rl_actions *out)
{
    struct fw_rl_upstream_call up = {
        .kind = FW_RL_UP_HANDOVER,
        .timeout_us = c->deadline_us - now_us,
        .priority = -1,
        .buffer_response = c->route->kind != FW_RL_STREAM,
        .is_streaming = c->route->kind == FW_RL_STREAM,
        .connect_us = FW_RL_CONNECT_TIMEOUT_US,
        .reuse_us = c->route->kind == FW_RL_IDEMPOTENT
                        ? FW_RL_REUSE_US
                        : FW_RL_REUSE_NON_IDEMPOTENT_US,
    };

    c->state = FW_RL_RUNNING;
    c->sent_us = now_us;
    c->handovers++;
    r->relay_metrics.handed_over.value++;
    Fw_Call_Handover(r, c, m, &up, now_us, out);
    Fw_RelayActions_Log(out, r, Fw_Call_LogSeverity(r, c), "handed_over",
                        "\"id\":\"%s\",\"route\":\"%s\",\"to\":\"%s\","
                        "\"try\":%d,\"left_ms\":%" G_GINT64_FORMAT,
                        c->info.id, c->route->name, m->name, c->handovers,
                        Fw_Relay_UsToMs(up.timeout_us));
}

static void
note_taker(struct fw_relay *r, uint64_t hash, int64_t now_us)
{
    struct fw_rl_member *m = find_instance(r, hash);

    if (m) {
        m->took_over_us = now_us;
    }
}

int
Fw_Handover_Start(struct fw_relay *r, struct fw_rl_call *c, int64_t now_us,
                  struct fw_rl_actions *out)
{
    struct fw_rl_member *m;

    if (c->info.is_handed_over || c->handovers >= FW_HANDOVERS_MAX ||
        now_us >= c->deadline_us || FW_FAULT("not-handed-over")) {
        return 0;
    }
    m = choose_instance(r, c, now_us);
    if (!m) {
        return 0;
    }
    send_to(r, c, m, now_us, out);
    return 1;
}

int
Fw_Handover_IsUnconnected(const struct fw_rl_call *c)
{
    return c->n_unconnected && !c->is_declined && c->ran == FW_RAN_NO;
}

/*
 * Whether @c may be handed over although it was admitted here. The engines
 * that have read its prompt in vain are charged for, as it will be read again.
 */
static int
may_rescue(struct fw_relay *r, struct fw_rl_call *c, int64_t now_us,
           struct fw_rl_actions *out)
{
    if (c->info.is_handed_over || c->is_forwarded || c->is_declined ||
        c->ran != FW_RAN_NO || now_us >= c->deadline_us ||
        c->handovers >= FW_HANDOVERS_MAX || FW_FAULT("not-handed-over") ||
        (!c->n_unconnected && !Fw_Links_AreLostFor(r, c, now_us)) ||
        !choose_instance(r, c, now_us)) {
        return 0;
    }
    return Fw_Stream_ChargeRetry(r, c, now_us, out) >= 0;
}

int
Fw_Handover_Rescue(struct fw_relay *r, struct fw_rl_call *c,
                   const char *gives_up, int64_t now_us,
                   struct fw_rl_actions *out)
{
    if (!may_rescue(r, c, now_us, out)) {
        return 0;
    }
    Fw_Call_Release(r, c, now_us, out);
    Fw_Queue_Remove(&r->queue, &c->item);
    Fw_ServiceDemand_SetWaiting(r, c, 0);
    Fw_Relay_Uncount(r, c, now_us);
    c->resumes = !gives_up;
    c->gives_up = gives_up;
    return Fw_Handover_Start(r, c, now_us, out);
}

static void
resume(struct fw_relay *r, struct fw_rl_call *c, int64_t now_us,
       struct fw_rl_actions *out)
{
    int64_t retry_us;

    c->resumes = 0;
    if (Fw_Crashes_IsQuarantined(r, c, now_us, &retry_us)) {
        Fw_Call_Reject(r, c, 503, retry_us, "poison", now_us, out);
        return;
    }
    if (!Fw_Relay_Recount(r, c, now_us, out)) {
        return;
    }
    if (c->kv_tokens) {
        Fw_Stream_Resume(r, c, now_us, out);
    }
    else {
        Fw_Plain_Resume(r, c, now_us, out);
    }
}

static void
try_next(struct fw_relay *r, struct fw_rl_call *c, int64_t now_us,
         struct fw_rl_actions *out)
{
    if (Fw_Handover_Start(r, c, now_us, out)) {
        return;
    }
    if (c->gives_up) {
        Fw_Call_Reject(r, c, 503,
                       c->kv_tokens ? Fw_Stream_RetryAfter(r, c) : FW_SEC,
                       c->gives_up, now_us, out);
    }
    else if (c->resumes) {
        resume(r, c, now_us, out);
    }
    else {
        Fw_Relay_Admit(r, c, now_us, out);
    }
}

/*
 * The other instance's promise holds for what it has done itself: an instance
 * that was lost with the request before may have had it run.
 */
void
Fw_Handover_BeginResponse(struct fw_relay *r, struct fw_rl_op *op,
                          const struct fw_rl_upstream_response *ans,
                          int64_t now_us, struct fw_rl_actions *out)
{
    struct fw_rl_call *c = op->call;

    c->status = ans->status;
    if (Fw_Refusal_IsTrue(ans->status, c->ran)) {
        Fw_Call_Forward(r, c, now_us, out);
    }
    else {
        Fw_Call_Reject(r, c, 502, 0, "instance_refused", now_us, out);
    }
}

void
Fw_Handover_HandleResponse(struct fw_relay *r, struct fw_rl_op *op,
                           const struct fw_rl_upstream_response *ans,
                           int64_t now_us, struct fw_rl_actions *out)
{
    struct fw_rl_call *c = op->call;

    if (ans->handover_refused) {
        note_refusal(r, op->instance, c->service, now_us);
        Fw_Op_End(r, op);
        try_next(r, c, now_us, out);
        return;
    }
    note_taker(r, op->instance, now_us);
    if (!c->is_forwarded) {
        uint64_t xid = op->xid;

        Fw_Handover_BeginResponse(r, op, ans, now_us, out);
        if (!Fw_Relay_FindOp(r, xid)) {
            return; /* @c was rejected */
        }
    }
    Fw_Call_Finish(r, c, 1, now_us, out);
}

void
Fw_Handover_HandleFailure(struct fw_relay *r, struct fw_rl_op *op, int sent,
                          int64_t now_us, struct fw_rl_actions *out)
{
    struct fw_rl_call *c = op->call;

    pause_instance(r, op->instance, now_us + FW_UNREACHABLE_PAUSE_US);
    Fw_Op_End(r, op);
    if (c->is_forwarded) {
        Fw_Call_Finish(r, c, 0, now_us, out);
        return;
    }
    if (!sent) {
        try_next(r, c, now_us, out);
        return;
    }
    c->ran = FW_RAN_MAYBE;
    if (c->route->kind == FW_RL_IDEMPOTENT &&
        Fw_RetryBudget_Take(r, c, 1, now_us, out) &&
        Fw_Handover_Start(r, c, now_us, out)) {
        return;
    }
    Fw_Call_Reject(r, c, 502, 0, "instance_lost", now_us, out);
}
