/*
 * Generation requests. KV cache memory is the scarce resource, so memory is
 * reserved at a decode engine first; then a prefill engine processes the
 * prompt, and the decode engine fetches the KV cache and streams the answer.
 * A prefill without a reservation would be wasted if no decode engine had
 * room.
 */
#include <errno.h>
#include <string.h>

#include "base/fault.h"
#include "base/hash.h"
#include "relay/relay_internal.h"
#include "relay/stream.h"

/*
 * Timeout of a reservation request, after which the request is queued again.
 * An engine answers within a few milliseconds, and the wait is taken off the
 * objective.
 */
#define FW_RESERVE_TIMEOUT_US (120 * FW_MSEC)
/*
 * Age above which a reservation is not used for another prefill: it lives for
 * two seconds, and could expire before the prefill completes.
 */
#define FW_RESERVATION_AGE_MAX_US (1 * FW_SEC)
/* Retries of one request at other engines, of its prefill or as a whole. */
#define FW_RETRIES_MAX 3

static struct fw_rl_call *
call_from_item(struct fw_queue_item *it)
{
    return FW_LIST_ENTRY(it, struct fw_rl_call, item);
}

int64_t
Fw_Stream_RetryAfter(struct fw_relay *r, const struct fw_rl_call *c)
{
    return Fw_ServiceStats_RetryAfter(Fw_ServiceStats_Get(r, c->service),
                                      g_rand_double(r->rand));
}

static void
reject_overloaded(struct fw_relay *r, struct fw_rl_call *c, const char *reason,
                  int64_t now_us, struct fw_rl_actions *out)
{
    Fw_Call_Reject(r, c, 503, Fw_Ranks_RetryAfter(r, c, now_us), reason,
                   now_us, out);
}

/* Hands @c over if none of its tries reached an engine, or rejects it. */
static void
give_up(struct fw_relay *r, struct fw_rl_call *c, const char *reason,
        int64_t now_us, struct fw_rl_actions *out)
{
    if (!Fw_Handover_Rescue(r, c, reason, now_us, out)) {
        reject_overloaded(r, c, reason, now_us, out);
    }
}

/*
 * Rejects @c if the limits of all engines keep it out for longer than it may
 * wait. Return: nonzero if it was rejected and freed.
 */
static int
reject_if_limited(struct fw_relay *r, struct fw_rl_call *c, int64_t now_us,
                  struct fw_rl_actions *out)
{
    if (Fw_Place_AvailableUs(r, c, FW_RL_REQUESTS_PER_RESERVATION, now_us) <=
        c->queue_until_us) {
        return 0;
    }
    reject_overloaded(r, c, "engines_limited", now_us, out);
    return 1;
}

void
Fw_Stream_Open(struct fw_relay *r, struct fw_rl_call *c, int64_t now_us,
               struct fw_rl_actions *out)
{
    const struct fw_rl_service_rule *s =
        Fw_Rules_Service(r->rules, c->service);
    struct fw_service_stats *stats = Fw_ServiceStats_Get(r, c->service);

    Fw_PrefillLoad_Add(&stats->prefill_load, c->info.tokens_in, now_us);
    Fw_Length_Estimate(&stats->length, c->info.tokens_out_hint,
                       c->info.tokens_out_max, &c->length);
    Fw_KvDemand_Update(r, c, now_us);
    Fw_ServiceDemand_NoteStream(r, c, now_us);
    c->reservation_tokens = Fw_KvDemand_Reservation(r, c);
    c->state = FW_RL_QUEUED;
    c->queue_limit_us =
        r->opts.queue_limit_us
            ? r->opts.queue_limit_us
            : Fw_ServiceStats_QueueLimit(stats, c->route->objective_us);
    c->queue_until_us = MIN(now_us + c->queue_limit_us, c->deadline_us);
    Fw_Ranks_Open(r, c, now_us);
    if (c->info.tokens_in + c->info.tokens_out_max > s->engine.kv_tokens) {
        Fw_Call_Reject(r, c, 503, 0, "larger_than_an_engine", now_us, out);
        return;
    }
    if (reject_if_limited(r, c, now_us, out) ||
        Fw_Ranks_RejectIfHopeless(r, c, now_us, out)) {
        return;
    }
    g_snprintf(c->item.team_name, sizeof(c->item.team_name),
               "%016" G_GINT64_MODIFIER "x", Fw_Hash_Str(c->team));
    c->item.latest_start_us = c->queue_until_us;
    c->item.tokens = c->kv_tokens;
    Fw_Queue_Put(&r->queue, &c->item);
    Fw_ServiceDemand_SetWaiting(r, c, 1);
    Fw_Stream_PlaceQueued(r, now_us, out);
}

static void
assign_server(struct fw_rl_call *c, struct fw_rl_server *s)
{
    c->server = Fw_Servers_Ref(s);
    s->running++;
    s->kv_tokens += c->kv_tokens;
}

void
Fw_Stream_Reserve(struct fw_relay *r, struct fw_rl_call *c,
                  struct fw_rl_server *s, int64_t now_us,
                  struct fw_rl_actions *out)
{
    const struct fw_rl_service_rule *rule =
        Fw_Rules_Service(r->rules, c->service);
    struct fw_rl_upstream_call up = {
        .kind = FW_RL_UP_RESERVE,
        .priority = -1,
        .buffer_response = 1,
        .reuse_us = FW_RL_REUSE_US,
        .connect_us = FW_RL_CONNECT_TIMEOUT_US,
        .tokens = c->reservation_tokens,
        .ttl_us = rule->engine.reservation_ttl_us,
    };

    assign_server(c, s);
    Fw_Delta_NotePlacement(r, s);
    Fw_Admission_NoteReserving(c);
    c->state = FW_RL_RESERVING;
    r->relay_metrics.reservations.value++;
    Fw_Call_Upstream(r, c, s, &up, now_us + FW_RESERVE_TIMEOUT_US, now_us,
                     out);
}

void
Fw_Stream_PlaceQueued(struct fw_relay *r, int64_t now_us,
                      struct fw_rl_actions *out)
{
    struct fw_queue_item *it;

    if (r->rules && Fw_Ranks_AreInForce(r)) {
        Fw_Ranks_PlaceQueued(r, now_us, out);
        return;
    }
    while (r->rules && (it = Fw_Queue_Take(&r->queue))) {
        struct fw_rl_call *c = call_from_item(it);
        struct fw_rl_server *s = NULL;

        if (!Fw_Exchange_ShouldWait(r, c->opened_us, now_us)) {
            s = Fw_Place_Decode(r, c, now_us);
        }
        if (!s) {
            Fw_Queue_PutBack(&r->queue, it);
            return;
        }
        Fw_Stream_Reserve(r, c, s, now_us, out);
    }
}

void
Fw_Stream_Requeue(struct fw_relay *r, struct fw_rl_call *c, int64_t now_us,
                  struct fw_rl_actions *out)
{
    c->state = FW_RL_QUEUED;
    if (now_us >= c->queue_until_us) {
        give_up(r, c, "no_room", now_us, out);
        return;
    }
    if (reject_if_limited(r, c, now_us, out)) {
        return;
    }
    if (c->n_unconnected && !Fw_Place_MayReachDecode(r, c, now_us)) {
        /* The instance before may give it to another one sooner. */
        if (c->info.is_handed_over) {
            reject_overloaded(r, c, "engine_unreachable", now_us, out);
            return;
        }
        if (Fw_Handover_Rescue(r, c, NULL, now_us, out)) {
            return;
        }
    }
    Fw_Queue_PutBack(&r->queue, &c->item);
    Fw_Stream_PlaceQueued(r, now_us, out);
}

void
Fw_Stream_Resume(struct fw_relay *r, struct fw_rl_call *c, int64_t now_us,
                 struct fw_rl_actions *out)
{
    c->state = FW_RL_QUEUED;
    if (now_us >= c->queue_until_us) {
        reject_overloaded(r, c, "no_room", now_us, out);
        return;
    }
    Fw_ServiceDemand_SetWaiting(r, c, 1);
    Fw_Queue_PutBack(&r->queue, &c->item);
    Fw_ServiceDemand_SetWaiting(r, c, 1);
    Fw_Stream_PlaceQueued(r, now_us, out);
}

int
Fw_Stream_ChargeRetry(struct fw_relay *r, struct fw_rl_call *c, int64_t now_us,
                      struct fw_rl_actions *out)
{
    int n = c->calls_received - c->calls_charged;

    if (n == 0 || FW_FAULT("retries-uncharged")) {
        return 0;
    }
    if (!Fw_RetryBudget_Take(r, c, n, now_us, out)) {
        return -EDQUOT;
    }
    c->calls_charged += n;
    return n;
}

/*
 * Releases what @c holds at engines and queues it again, or rejects it.
 * @charged: as returned by Fw_Stream_ChargeRetry(); negative to reject it
 */
static void
start_over(struct fw_relay *r, struct fw_rl_call *c, const char *reason,
           int charged, int64_t now_us, struct fw_rl_actions *out)
{
    struct fw_rl_server *s =
        c->state == FW_RL_PREFILLING ? c->prefill_server : c->server;
    uint64_t failed = s ? s->hash : 0;

    Fw_RelayActions_Log(
        out, r, LOG_NOTICE, "start_over",
        "\"id\":\"%s\",\"why\":\"%s\",\"server\":\"%s\",\"again\":%d,"
        "\"charged\":%d",
        c->info.id, reason, s ? s->entry.id : "", charged >= 0,
        MAX(charged, 0));
    c->tried[c->n_tried++] = failed;
    Fw_Call_Release(r, c, now_us, out);
    if (charged < 0) {
        give_up(r, c, reason, now_us, out);
        return;
    }
    c->queue_until_us =
        MAX(c->queue_until_us,
            MIN(now_us + c->queue_limit_us / 2, c->deadline_us));
    Fw_Stream_Requeue(r, c, now_us, out);
}

int
Fw_Stream_Yield(struct fw_relay *r, struct fw_rl_call *c, int64_t now_us,
                struct fw_rl_actions *out)
{
    int charged;

    c->calls_received++; /* the prefill engine may have its prompt */
    charged = Fw_Stream_ChargeRetry(r, c, now_us, out);
    if (charged < 0) {
        c->calls_received--;
        return charged;
    }
    c->yields++;
    Fw_Ranks_Count(r, c, FW_RL_RANK_YIELDED);
    Fw_RelayActions_Log(out, r, LOG_NOTICE, "yielded",
                        "\"id\":\"%s\",\"rank\":%d,\"server\":\"%s\","
                        "\"charged\":%d",
                        c->info.id, c->item.rank, c->server->entry.id,
                        charged);
    Fw_Call_Release(r, c, now_us, out);
    c->state = FW_RL_QUEUED;
    Fw_Queue_Put(&r->queue, &c->item);
    Fw_ServiceDemand_SetWaiting(r, c, 1);
    return 0;
}

/* Starts over if that is allowed, and rejects @c otherwise. */
void
Fw_Stream_Restart(struct fw_relay *r, struct fw_rl_call *c, const char *reason,
                  int64_t now_us, struct fw_rl_actions *out)
{
    int charged = -ETIMEDOUT;

    if (c->n_tried < FW_RETRIES_MAX && now_us < c->deadline_us) {
        charged = Fw_Stream_ChargeRetry(r, c, now_us, out);
    }
    start_over(r, c, reason, charged, now_us, out);
}

/*
 * Rejects @c if the configuration has become too old to trust its key.
 * Return: nonzero if @c was rejected and freed.
 */
static int
reject_if_stale(struct fw_relay *r, struct fw_rl_call *c, int64_t now_us,
                struct fw_rl_actions *out)
{
    if (Fw_Relay_MayServe(r, c, now_us)) {
        return 0;
    }
    Fw_Call_Reject(r, c, 503, Fw_Relay_StaleRetryUs(r, now_us),
                   "configuration_stale", now_us, out);
    return 1;
}

void
Fw_Stream_SendRun(struct fw_relay *r, struct fw_rl_call *c, int64_t now_us,
                  struct fw_rl_actions *out)
{
    struct fw_rl_upstream_call up = {
        .kind = FW_RL_UP_RUN,
        .timeout_us = c->deadline_us - now_us,
        .priority = c->priority,
        .is_streaming = c->route->kind == FW_RL_STREAM,
        .reuse_us = FW_RL_REUSE_NON_IDEMPOTENT_US,
        .connect_us = FW_RL_CONNECT_TIMEOUT_US,
    };
    char speed[FW_RL_SPEED_TEXT_MAX];

    if (reject_if_stale(r, c, now_us, out) ||
        Fw_Stopping_RejectIfLate(r, c, 1, now_us, out)) {
        return;
    }
    if (c->server->is_evacuated) {
        Fw_Stream_Restart(r, c, "engine_evacuated", now_us, out);
        return;
    }
    if (Fw_Servers_HasLeft(c->server, now_us)) {
        Fw_Stream_Restart(r, c, "engine_left", now_us, out);
        return;
    }
    if (!Fw_Admission_MayFollow(r, c->server, now_us)) {
        Fw_Stream_Restart(r, c, "engine_limited", now_us, out);
        return;
    }
    Fw_Admission_EndReservation(c);
    up.team = c->team;
    g_strlcpy(up.reservation, c->reservation, sizeof(up.reservation));
    g_strlcpy(up.kv_handle, c->kv_handle, sizeof(up.kv_handle));
    g_strlcpy(up.kv_addr, c->kv_addr, sizeof(up.kv_addr));
    c->state = FW_RL_RUNNING;
    c->sent_us = now_us;
    c->attempts++;
    Fw_Call_Upstream(r, c, c->server, &up, c->deadline_us, now_us, out);
    Fw_RelayActions_Log(
        out, r, Fw_Call_LogSeverity(r, c), "sent",
        "\"id\":\"%s\",\"route\":\"%s\",\"team\":\"%s\","
        "\"cost\":%" G_GINT64_FORMAT ",\"server\":\"%s\","
        "\"reader\":\"%s\",\"in\":%" G_GINT64_FORMAT
        ",\"most_out\":%" G_GINT64_FORMAT ",\"hint\":%" G_GINT64_FORMAT
        ",\"tokens\":%" G_GINT64_FORMAT ",\"after_ms\":%" G_GINT64_FORMAT "%s",
        c->info.id, c->route->name, c->team, c->cost, c->server->entry.id,
        c->prefill_server ? c->prefill_server->entry.id : "",
        c->info.tokens_in, c->info.tokens_out_max, c->info.tokens_out_hint,
        c->kv_tokens, Fw_Relay_UsToMs(now_us - c->opened_us),
        Fw_Speeds_LogText(r, c->server, c->prefill_server, speed));
}

void
Fw_Stream_StartPrefill(struct fw_relay *r, struct fw_rl_call *c,
                       int64_t now_us, struct fw_rl_actions *out)
{
    const struct fw_service_stats *stats = Fw_ServiceStats_Get(r, c->service);
    int64_t wait_us;
    struct fw_rl_server *s = Fw_Place_Prefill(r, c, now_us, &wait_us);
    struct fw_rl_load load;
    struct fw_rl_upstream_call up = {
        .kind = FW_RL_UP_PREFILL,
        .timeout_us = c->deadline_us - now_us,
        .priority = c->priority,
        .buffer_response = 1,
        .reuse_us = FW_RL_REUSE_US,
        .connect_us = FW_RL_CONNECT_TIMEOUT_US,
    };

    if (c->server->left_us) {
        Fw_Stream_Restart(r, c, "engine_left", now_us, out);
        return;
    }
    if (!s || wait_us > r->opts.local_prefill_us) {
        Fw_Stream_SendRun(r, c, now_us,
                          out); /* prefill at the decode engine */
        return;
    }
    if (reject_if_stale(r, c, now_us, out) ||
        Fw_Stopping_RejectIfLate(r, c, 1, now_us, out)) {
        return;
    }
    up.team = c->team;
    Fw_Place_Load(r, s, now_us, &load);
    c->prefill_queue_tokens = load.prefill_tokens + c->info.tokens_in;
    c->prefill_server = Fw_Servers_Ref(s);
    c->is_prefilling = 1;
    s->prefill_tokens += c->info.tokens_in;
    Fw_Delta_NotePlacement(r, s);
    c->state = FW_RL_PREFILLING;
    r->relay_metrics.prefills.value++;
    Fw_Call_Upstream(
        r, c, s, &up,
        MIN(now_us + wait_us + Fw_ServiceStats_PrefillSlack(stats),
            c->deadline_us),
        now_us, out);
}

/*
 * Retries a failed prefill at another engine and keeps the reservation, which
 * might not be granted again in a full fleet, least of all when many engines
 * have crashed at once.
 */
void
Fw_Stream_RetryPrefill(struct fw_relay *r, struct fw_rl_call *c,
                       int64_t now_us, struct fw_rl_actions *out)
{
    int64_t held_us = now_us - c->reserved_us;
    int charged;

    if (held_us > FW_RESERVATION_AGE_MAX_US || c->n_tried >= FW_RETRIES_MAX) {
        Fw_Stream_Restart(r, c, "prompt_not_read", now_us, out);
        return;
    }
    charged = Fw_Stream_ChargeRetry(r, c, now_us, out);
    if (charged < 0) {
        start_over(r, c, "prompt_not_read", charged, now_us, out);
        return;
    }
    Fw_RelayActions_Log(out, r, LOG_NOTICE, "read_elsewhere",
                        "\"id\":\"%s\",\"server\":\"%s\",\"charged\":%d",
                        c->info.id, c->prefill_server->entry.id, charged);
    c->tried[c->n_tried++] = c->prefill_server->hash;
    Fw_Servers_Unref(c->prefill_server);
    c->prefill_server = NULL;
    Fw_Stream_StartPrefill(r, c, now_us, out);
}
