/*
 * Generation requests. KV cache memory is the scarce resource, so memory is
 * reserved at a decode engine first; then a prefill engine processes the
 * prompt, and the decode engine fetches the KV cache and streams the answer.
 * A prefill without a reservation would be wasted if no decode engine had
 * room.
 */
#include <errno.h>
#include <string.h>

#include "relay/relay_internal.h"

/*
 * Timeout of a reservation request, after which the request is queued again.
 * An engine normally answers within a few milliseconds.
 */
#define FW_RESERVE_TIMEOUT_US (120 * FW_MSEC)
/*
 * Age above which a reservation is not used for another prefill: it could
 * expire before the prefill completes. Reservations usually last 2 s.
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
    return Fw_Learned_RetryAfter(Fw_Learned_Of(r, c->service),
                                 g_rand_double(r->rand));
}

static void
refuse_overloaded(struct fw_relay *r, struct fw_rl_call *c, const char *reason,
                  int64_t now_us, struct fw_rl_acts *out)
{
    Fw_Call_Refuse(r, c, 503, Fw_Stream_RetryAfter(r, c), reason, now_us, out);
}

void
Fw_Stream_Open(struct fw_relay *r, struct fw_rl_call *c, int64_t now_us,
               struct fw_rl_acts *out)
{
    const struct fw_rl_service_rule *s =
        Fw_Rules_Service(r->rules, c->service);
    struct fw_learned *known = Fw_Learned_Of(r, c->service);

    Fw_Reading_Note(&known->reading, c->ask.tokens_in, now_us);
    Fw_Length_Guess(&known->length, c->ask.hint_out, c->ask.tokens_out,
                    &c->answer);
    Fw_Need_Grow(r, c, now_us);
    c->hold_tokens = Fw_Need_Hold(r, c);
    c->state = FW_RL_QUEUED;
    c->queue_us = r->opts.queue_us
                      ? r->opts.queue_us
                      : Fw_Learned_QueueTime(known, c->route.objective_us);
    c->queue_until_us = MIN(now_us + c->queue_us, c->deadline_us);
    if (c->ask.tokens_in + c->ask.tokens_out > s->engine.kv_tokens) {
        Fw_Call_Refuse(r, c, 503, 0, "larger_than_an_engine", now_us, out);
        return;
    }
    g_strlcpy(c->item.team_name, c->team, sizeof(c->item.team_name));
    c->item.latest_us = c->queue_until_us;
    c->item.tokens = c->need;
    Fw_Queue_Put(&r->queue, &c->item);
    Fw_Stream_Pump(r, now_us, out);
}

static void
assign_server(struct fw_rl_call *c, struct fw_rl_server *s)
{
    c->server = Fw_Servers_Ref(s);
    s->running++;
    s->reserved += c->need;
}

static void
request_reservation(struct fw_relay *r, struct fw_rl_call *c,
                    struct fw_rl_server *s, int64_t now_us,
                    struct fw_rl_acts *out)
{
    const struct fw_rl_service_rule *rule =
        Fw_Rules_Service(r->rules, c->service);
    struct fw_rl_up_call up = {
        .kind = FW_RL_UP_HOLD,
        .urgency = -1,
        .whole = 1,
        .reuse_us = FW_RL_REUSE_US,
        .connect_us = FW_RL_CONNECT_US,
        .tokens = c->hold_tokens,
        .ttl_us = rule->engine.hold_us,
    };

    assign_server(c, s);
    Fw_Delta_Placed(r, s);
    c->state = FW_RL_HOLD;
    r->n.holds.value++;
    Fw_Call_Ask(r, c, s, &up, now_us + FW_RESERVE_TIMEOUT_US, now_us, out);
}

void
Fw_Stream_Pump(struct fw_relay *r, int64_t now_us, struct fw_rl_acts *out)
{
    struct fw_queue_item *it;

    while (r->rules && (it = Fw_Queue_Take(&r->queue))) {
        struct fw_rl_call *c = call_from_item(it);
        struct fw_rl_server *s = NULL;

        if (!Fw_Exchange_Awaits(r, c->opened_us, now_us)) {
            s = Fw_Place_Decode(r, c, now_us);
        }
        if (!s) {
            Fw_Queue_PutBack(&r->queue, it);
            return;
        }
        request_reservation(r, c, s, now_us, out);
    }
}

static void
requeue(struct fw_relay *r, struct fw_rl_call *c, int64_t now_us,
        struct fw_rl_acts *out)
{
    c->state = FW_RL_QUEUED;
    if (now_us >= c->queue_until_us) {
        refuse_overloaded(r, c, "no_room", now_us, out);
        return;
    }
    Fw_Queue_PutBack(&r->queue, &c->item);
    Fw_Stream_Pump(r, now_us, out);
}

/*
 * Releases what @c holds at engines and queues it again, or refuses it if it
 * may not be retried.
 * @wasted_calls: charged to the retry budget: calls that reached an engine in
 *     vain, one for a run and one for the prefill before it
 */
static void
restart(struct fw_relay *r, struct fw_rl_call *c, const char *reason,
        int wasted_calls, int64_t now_us, struct fw_rl_acts *out)
{
    struct fw_rl_server *s = c->state == FW_RL_READ ? c->reader : c->server;
    uint64_t failed = s ? s->hash : 0;
    int retry = c->n_tried < FW_RETRIES_MAX && now_us < c->deadline_us &&
                Fw_Budget_Repeat(r, c->service, wasted_calls, now_us);

    Fw_Acts_Log(out, r, LOG_NOTICE, "start_over",
                "\"id\":\"%s\",\"why\":\"%s\",\"server\":\"%s\",\"again\":%d",
                c->ask.id, reason, s ? s->e.id : "", retry);
    c->tried[c->n_tried++] = failed;
    Fw_Call_Release(r, c, now_us, out);
    if (!retry) {
        refuse_overloaded(r, c, reason, now_us, out);
        return;
    }
    c->queue_until_us =
        MAX(c->queue_until_us, MIN(now_us + c->queue_us / 2, c->deadline_us));
    requeue(r, c, now_us, out);
}

/*
 * Refuses @c if the configuration has become too old to trust its key.
 * Return: nonzero if @c was refused and freed.
 */
static int
refuse_if_stale(struct fw_relay *r, struct fw_rl_call *c, int64_t now_us,
                struct fw_rl_acts *out)
{
    if (Fw_Relay_MayServe(r, c, now_us)) {
        return 0;
    }
    Fw_Call_Refuse(r, c, 503, Fw_Relay_UnreadyRetry(r, now_us),
                   "configuration_stale", now_us, out);
    return 1;
}

static void
send_run(struct fw_relay *r, struct fw_rl_call *c, int64_t now_us,
         struct fw_rl_acts *out)
{
    struct fw_rl_up_call up = {
        .kind = FW_RL_UP_RUN,
        .left_us = c->deadline_us - now_us,
        .urgency = c->urgency,
        .reuse_us = FW_RL_REUSE_ONCE_US,
        .connect_us = FW_RL_CONNECT_US,
    };

    if (refuse_if_stale(r, c, now_us, out)) {
        return;
    }
    g_strlcpy(up.team, c->team, sizeof(up.team));
    g_strlcpy(up.hold, c->hold, sizeof(up.hold));
    g_strlcpy(up.kv, c->kv, sizeof(up.kv));
    g_strlcpy(up.kv_addr, c->kv_addr, sizeof(up.kv_addr));
    c->state = FW_RL_RUN;
    c->run_us = now_us;
    c->tries++;
    Fw_Call_Ask(r, c, c->server, &up, c->deadline_us, now_us, out);
    Fw_Acts_Log(
        out, r, Fw_Call_Severity(r, c), "sent",
        "\"id\":\"%s\",\"route\":\"%s\",\"team\":\"%s\","
        "\"cost\":%" G_GINT64_FORMAT ",\"server\":\"%s\","
        "\"reader\":\"%s\",\"in\":%" G_GINT64_FORMAT
        ",\"most_out\":%" G_GINT64_FORMAT ",\"hint\":%" G_GINT64_FORMAT
        ",\"tokens\":%" G_GINT64_FORMAT ",\"after_ms\":%" G_GINT64_FORMAT,
        c->ask.id, c->route.name, c->team, c->cost, c->server->e.id,
        c->reader ? c->reader->e.id : "", c->ask.tokens_in, c->ask.tokens_out,
        c->ask.hint_out, c->need, Fw_Relay_Ms(now_us - c->opened_us));
}

static void
start_prefill(struct fw_relay *r, struct fw_rl_call *c, int64_t now_us,
              struct fw_rl_acts *out)
{
    const struct fw_learned *known = Fw_Learned_Of(r, c->service);
    int64_t wait_us;
    struct fw_rl_server *s = Fw_Place_Read(r, c, now_us, &wait_us);
    struct fw_rl_load load;
    struct fw_rl_up_call up = {
        .kind = FW_RL_UP_PREFILL,
        .left_us = c->deadline_us - now_us,
        .urgency = c->urgency,
        .whole = 1,
        .reuse_us = FW_RL_REUSE_US,
        .connect_us = FW_RL_CONNECT_US,
    };

    if (!s || wait_us > r->opts.read_here_us) {
        send_run(r, c, now_us, out); /* prefill at the decode engine */
        return;
    }
    if (refuse_if_stale(r, c, now_us, out)) {
        return;
    }
    g_strlcpy(up.team, c->team, sizeof(up.team));
    Fw_Place_Load(r, s, now_us, &load);
    c->ahead = load.reading + c->ask.tokens_in;
    c->reader = Fw_Servers_Ref(s);
    c->reading = 1;
    s->reading += c->ask.tokens_in;
    Fw_Delta_Placed(r, s);
    c->state = FW_RL_READ;
    r->n.reads.value++;
    Fw_Call_Ask(
        r, c, s, &up,
        MIN(now_us + wait_us + Fw_Learned_ReadSlack(known), c->deadline_us),
        now_us, out);
}

/*
 * Retries a failed prefill at another engine and keeps the reservation, which
 * might not be had again in a full fleet.
 * @wasted_calls: charged to the retry budget: 1 if the prefill's call reached
 *     an engine, else 0
 */
static void
retry_prefill(struct fw_relay *r, struct fw_rl_call *c, int wasted_calls,
              int64_t now_us, struct fw_rl_acts *out)
{
    int64_t held_us = now_us - c->room_us;

    if (held_us > FW_RESERVATION_AGE_MAX_US || c->n_tried >= FW_RETRIES_MAX ||
        (wasted_calls &&
         !Fw_Budget_Repeat(r, c->service, wasted_calls, now_us))) {
        restart(r, c, "prompt_not_read", 0, now_us, out);
        return;
    }
    Fw_Acts_Log(out, r, LOG_NOTICE, "read_elsewhere",
                "\"id\":\"%s\",\"server\":\"%s\"", c->ask.id, c->reader->e.id);
    c->tried[c->n_tried++] = c->reader->hash;
    Fw_Servers_Unref(c->reader);
    c->reader = NULL;
    start_prefill(r, c, now_us, out);
}

static void
reservation_answered(struct fw_relay *r, struct fw_rl_call *c,
                     struct fw_rl_server *s, const struct fw_rl_up_answer *ans,
                     int64_t now_us, struct fw_rl_acts *out)
{
    if (ans->status == 200 && ans->name[0]) {
        g_strlcpy(c->hold, ans->name, sizeof(c->hold));
        c->room_us = now_us;
        Fw_Histogram_Add(&r->n.queued_s, now_us - c->opened_us);
        Fw_Servers_Served(s, 0, -1);
        start_prefill(r, c, now_us, out);
        return;
    }
    r->n.holds_refused.value++;
    if (ans->moved) {
        Fw_Servers_Missed(s, now_us);
    }
    s->full_us = now_us;
    s->full_tokens = c->need;
    Fw_Call_LeaveServer(c);
    requeue(r, c, now_us, out);
}

static void
prefill_answered(struct fw_relay *r, struct fw_rl_call *c,
                 struct fw_rl_server *s, const struct fw_rl_up_answer *ans,
                 int64_t took_us, int64_t now_us, struct fw_rl_acts *out)
{
    Fw_Call_ReadDone(c);
    if (ans->status == 200 && ans->name[0]) {
        Fw_Learned_NoteRead(Fw_Learned_Of(r, c->service), c->ahead, took_us);
        Fw_Servers_Served(s, 0, -1);
        Fw_Histogram_Add(&r->n.read_s, now_us - c->room_us);
        g_strlcpy(c->kv, ans->name, sizeof(c->kv));
        g_strlcpy(c->kv_addr, s->e.addr, sizeof(c->kv_addr));
        send_run(r, c, now_us, out);
        return;
    }
    s->full_us = now_us;
    s->full_tokens = 0;
    if (ans->moved) {
        Fw_Servers_Missed(s, now_us);
    }
    retry_prefill(r, c, 1, now_us, out);
}

static void
run_answered(struct fw_relay *r, struct fw_rl_call *c,
             const struct fw_rl_up_answer *ans, int64_t now_us,
             struct fw_rl_acts *out)
{
    if (c->passed) {
        Fw_Need_NoteRun(r, c, ans->events, now_us);
        Fw_Call_Finish(r, c, 1, now_us, out);
        return;
    }
    if (ans->moved) {
        Fw_Servers_Missed(c->server, now_us);
    }
    else {
        Fw_Servers_Refused(c->server, now_us);
    }
    c->tries--;
    restart(r, c, "engine_full", c->reader ? 2 : 1, now_us, out);
}

void
Fw_Stream_Answered(struct fw_relay *r, struct fw_rl_op *op,
                   const struct fw_rl_up_answer *ans, int64_t now_us,
                   struct fw_rl_acts *out)
{
    struct fw_rl_call *c = op->call;
    struct fw_rl_server *s = Fw_Servers_Ref(op->server);
    enum fw_rl_up_kind kind = op->kind;
    int64_t took_us = now_us - op->sent_us;

    Fw_Op_End(r, op);
    if (kind == FW_RL_UP_HOLD) {
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

static void
run_failed(struct fw_relay *r, struct fw_rl_call *c, int sent, int64_t now_us,
           struct fw_rl_acts *out)
{
    if (c->passed) {
        Fw_Call_Finish(r, c, 0, now_us, out);
        return;
    }
    if (!sent) {
        c->tries--;
        restart(r, c, "engine_unreachable", c->reader ? 1 : 0, now_us, out);
        return;
    }
    c->ran = FW_RAN_MAYBE;
    c->hold[0] = 0;
    c->kv[0] = 0;
    if (now_us >= c->deadline_us) {
        Fw_Call_Refuse(r, c, 504, 0, "timeout", now_us, out);
    }
    else if (c->route.resumable && c->tries < c->route.attempts) {
        restart(r, c, "engine_lost", c->reader ? 2 : 1, now_us, out);
    }
    else {
        Fw_Call_Refuse(r, c, 502, 0, "engine_lost", now_us, out);
    }
}

void
Fw_Stream_Failed(struct fw_relay *r, struct fw_rl_op *op, int err, int sent,
                 int64_t now_us, struct fw_rl_acts *out)
{
    struct fw_rl_call *c = op->call;
    struct fw_rl_server *s = Fw_Servers_Ref(op->server);
    enum fw_rl_up_kind kind = op->kind;

    Fw_Op_End(r, op);
    if (sent && kind != FW_RL_UP_RUN && err == -ETIMEDOUT) {
        Fw_Servers_Silent(s, now_us);
    }
    else if (!sent || kind != FW_RL_UP_RUN) {
        Fw_Servers_Missed(s, now_us);
    }
    if (err == -ECONNREFUSED) {
        Fw_Poison_ServerLost(r, s, now_us, out);
    }
    else if (sent && kind != FW_RL_UP_HOLD && err != -ETIMEDOUT) {
        Fw_Poison_CutOff(r, c->ask.digest, s, now_us);
    }
    if (kind == FW_RL_UP_HOLD) {
        s->full_us = now_us;
        s->full_tokens = 0;
        Fw_Call_LeaveServer(c);
        requeue(r, c, now_us, out);
    }
    else if (kind == FW_RL_UP_PREFILL) {
        Fw_Call_ReadDone(c);
        retry_prefill(r, c, sent ? 1 : 0, now_us, out);
    }
    else {
        run_failed(r, c, sent, now_us, out);
    }
    Fw_Servers_Unref(s);
}
