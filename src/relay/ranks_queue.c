/*
 * Placement of queued requests where ranks have precedence: those that have
 * waited for long and drew a place, then the others by rank. A request that
 * waits keeps none of a more urgent rank or of another service from its place.
 */
#include "decide/precedence.h"
#include "relay/ranks.h"
#include "relay/relay_internal.h"
#include "relay/stream.h"

/*
 * An instance that learns after a pause that there is room places no more of
 * the requests that it has held back within one digest period than this, or
 * this part of them: the others' loads may not have arrived yet.
 */
#define FW_RELEASED_MIN 2
#define FW_RELEASED_FRACTION 8
/* A request that is held back is decided about again after this time. */
#define FW_DECISION_AGE_US (10 * FW_MSEC)

/**
 * struct round - one pass over the queue.
 * @calls: queued requests in their order, NULL once they are placed or wait
 * @is_blocked: a request of a service without ranks found no engine
 */
struct round {
    GPtrArray *calls;
    int is_blocked;
};

static int *
blocked_flag(struct fw_relay *r, struct round *round,
             const struct fw_rl_call *c)
{
    struct fw_rl_ranked_service *s = Fw_Ranks_ServiceOf(r, c);

    return s ? &s->is_blocked : &round->is_blocked;
}

static void
list_queued(struct fw_relay *r, struct round *round)
{
    GPtrArray *items = g_ptr_array_sized_new((guint)r->queue.n);

    Fw_Queue_List(&r->queue, items);
    round->calls = g_ptr_array_sized_new(items->len);
    for (guint i = 0; i < items->len; i++) {
        struct fw_queue_item *it = g_ptr_array_index(items, i);
        struct fw_rl_call *c = FW_LIST_ENTRY(it, struct fw_rl_call, item);

        g_ptr_array_add(round->calls, c);
        *blocked_flag(r, round, c) = 0;
    }
    g_ptr_array_unref(items);
}

/* Whether @c, if it was held back, may be placed within this period. */
static int
may_release(struct fw_relay *r, const struct fw_rl_call *c, int64_t now_us)
{
    struct fw_rl_ranked_service *s = Fw_Ranks_ServiceOf(r, c);

    if (!c->is_held || !s) {
        return 1;
    }
    if (now_us - s->window_us >= r->opts.digest_period_us) {
        s->window_us = now_us;
        s->released = 0;
    }
    return s->released <
           MAX(FW_RELEASED_MIN, s->n_held / FW_RELEASED_FRACTION);
}

/* What this instance has placed since it looked at the pool. */
static void
note_placed(struct fw_relay *r, struct fw_rl_call *c)
{
    struct fw_rl_ranked_service *s = Fw_Ranks_ServiceOf(r, c);

    if (!s) {
        return;
    }
    s->pool.free_tokens -= (double)c->kv_tokens;
    s->pool.used_tokens += (double)c->kv_tokens;
    s->pool.free_slots--;
    s->pool.running++;
    s->pool.queued_tokens += (double)c->info.tokens_in;
    s->released += c->is_held;
    Fw_Ranks_Count(r, c, FW_RL_RANK_PLACED);
}

/*
 * A less urgent request of this instance that has a reservation which @c could
 * use, and whose prompt waits at its prefill engine as far as this is known.
 */
static int
may_yield(struct fw_relay *r, const struct fw_rl_call *v,
          const struct fw_rl_call *c, int64_t now_us)
{
    int64_t queued_us;

    if (v->service_hash != c->service_hash || v->item.rank <= c->item.rank ||
        v->state != FW_RL_PREFILLING || !v->reservation[0] || !v->op ||
        v->yields) {
        return 0;
    }
    queued_us = Fw_ServiceStats_PrefillTime(Fw_ServiceStats_Get(r, v->service),
                                            v->prefill_queue_tokens -
                                                v->info.tokens_in);
    return now_us - v->op->sent_us < queued_us &&
           Fw_Place_FitsInstead(r, v, c, now_us);
}

static struct fw_rl_call *
find_yielding(struct fw_relay *r, const struct fw_rl_call *c, int64_t now_us)
{
    struct fw_rl_call *best = NULL;
    struct fw_list *pos;

    FW_LIST_EACH (pos, &r->call_list) {
        struct fw_rl_call *v = FW_LIST_ENTRY(pos, struct fw_rl_call, link);

        if ((!best || v->item.rank >= best->item.rank) &&
            may_yield(r, v, c, now_us)) {
            best = v; /* the last one of the least urgent rank */
        }
    }
    return best;
}

/* An engine for @c, if need be one that a less urgent request gives up. */
static struct fw_rl_server *
find_engine(struct fw_relay *r, const struct fw_rl_call *c, int64_t now_us,
            struct fw_rl_actions *out)
{
    struct fw_rl_server *s = Fw_Place_Decode(r, c, now_us);
    struct fw_rl_call *v;

    if (s || !Fw_Ranks_ServiceOf(r, c)) {
        return s;
    }
    v = find_yielding(r, c, now_us);
    if (!v || Fw_Stream_Yield(r, v, now_us, out)) {
        return NULL;
    }
    Fw_Ranks_ServiceOf(r, c)->pool_us = 0;
    return Fw_Place_Decode(r, c, now_us);
}

/* Places the request at @i if there is an engine for it. */
static void
try_place(struct fw_relay *r, struct round *round, guint i, int64_t now_us,
          struct fw_rl_actions *out)
{
    struct fw_rl_call *c = g_ptr_array_index(round->calls, i);
    struct fw_rl_server *s;

    if (*blocked_flag(r, round, c) ||
        Fw_Exchange_ShouldWait(r, c->opened_us, now_us)) {
        return;
    }
    s = find_engine(r, c, now_us, out);
    if (!s) {
        *blocked_flag(r, round, c) = 1;
        return;
    }
    round->calls->pdata[i] = NULL;
    note_placed(r, c);
    Fw_Queue_TakeItem(&r->queue, &c->item);
    Fw_Stream_Reserve(r, c, s, now_us, out);
}

static int
is_less_urgent(struct fw_relay *r, const struct fw_rl_call *c)
{
    return c && c->is_less_urgent && Fw_Ranks_ServiceOf(r, c);
}

/*
 * Whether the less urgent request @c, which may be placed only in its turn or
 * if it has waited for long, takes part in this round.
 */
static int
takes_part(struct fw_relay *r, struct fw_rl_call *c, int64_t now_us,
           struct fw_precedence_decision *d, struct fw_rl_actions *out)
{
    if (c->is_held && now_us - c->decided_us < FW_DECISION_AGE_US) {
        return 0;
    }
    c->decided_us = now_us;
    Fw_Ranks_Decide(r, c, now_us, d);
    if (!d->place) {
        Fw_Ranks_NoteHeld(r, c, d, now_us, out);
    }
    return d->place;
}

/*
 * Places those of the less urgent requests that have waited for long and drew
 * a place, and removes those that wait from the round.
 */
static void
place_aged(struct fw_relay *r, struct round *round, int64_t now_us,
           struct fw_rl_actions *out)
{
    struct fw_precedence_decision d;

    for (guint i = 0; i < round->calls->len; i++) {
        struct fw_rl_call *c = g_ptr_array_index(round->calls, i);

        if (!is_less_urgent(r, c)) {
            continue;
        }
        if (!takes_part(r, c, now_us, &d, out)) {
            round->calls->pdata[i] = NULL;
        }
        else if (d.reason == FW_PRECEDENCE_AGED) {
            try_place(r, round, i, now_us, out);
        }
    }
}

/* The decision of this round may have changed with what was placed in it. */
static int
may_place(struct fw_relay *r, struct fw_rl_call *c, int64_t now_us,
          struct fw_rl_actions *out)
{
    struct fw_precedence_decision d;

    if (!is_less_urgent(r, c)) {
        return 1;
    }
    Fw_Ranks_Decide(r, c, now_us, &d);
    if (!d.place) {
        Fw_Ranks_NoteHeld(r, c, &d, now_us, out);
        return 0;
    }
    return may_release(r, c, now_us);
}

void
Fw_Ranks_PlaceQueued(struct fw_relay *r, int64_t now_us,
                     struct fw_rl_actions *out)
{
    struct round round = {0};

    list_queued(r, &round);
    place_aged(r, &round, now_us, out);
    for (guint i = 0; i < round.calls->len; i++) {
        struct fw_rl_call *c = g_ptr_array_index(round.calls, i);

        if (c && may_place(r, c, now_us, out)) {
            try_place(r, &round, i, now_us, out);
        }
    }
    g_ptr_array_unref(round.calls);
}
