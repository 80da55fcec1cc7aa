#include "relay/ranks.h"

#include "base/fault.h"
#include "base/hash.h"
#include "decide/precedence.h"
#include "relay/relay_internal.h"

/* The pool is looked at again after this time, or when none fits. */
#define FW_POOL_AGE_MAX_US (10 * FW_MSEC)
/*
 * Part of the most urgent objective that prompts may wait at the prefill
 * engines before less urgent ones are sent there.
 */
#define FW_PREFILL_WAIT_FRACTION 0.5
/* The same without an objective. */
#define FW_PREFILL_WAIT_DEFAULT_US (300 * FW_MSEC)
/* Deviations beyond the mean time of a stream to reserve for it. */
#define FW_STREAM_DEVIATIONS 2.0
/*
 * The streams of all instances may take this many times less than those that
 * this instance has seen, of which it assumes a few long ones at first.
 */
#define FW_STREAM_TIME_RATIO_MAX 4
/* Bounds of Retry-After: a minimum, and a part of the time that is left. */
#define FW_RETRY_MIN_US (250 * FW_MSEC)
#define FW_RETRY_LEFT_FRACTION 3

void
Fw_Ranks_Init(struct fw_relay *r)
{
    r->ranks.services = g_ptr_array_new_with_free_func(g_free);
}

void
Fw_Ranks_Clear(struct fw_relay *r)
{
    g_ptr_array_unref(r->ranks.services);
}

int
Fw_Ranks_AreInForce(const struct fw_relay *r)
{
    return g_hash_table_size(r->service_demand.ranked) > 0;
}

/* The shortest objective of the routes to @service, 0 for none. */
static int64_t
shortest_objective_us(const struct fw_relay *r, const char *service)
{
    int64_t shortest = 0;

    for (guint i = 0; i < r->rules->routes->len; i++) {
        const struct fw_rl_route_rule *route =
            g_ptr_array_index(r->rules->routes, i);

        if (route->generates && route->objective_us > 0 &&
            Fw_ServiceDemand_IsTarget(route, service)) {
            shortest = shortest ? MIN(shortest, route->objective_us)
                                : route->objective_us;
        }
    }
    return shortest;
}

void
Fw_Ranks_ApplyRules(struct fw_relay *r)
{
    for (guint i = 0; i < r->ranks.services->len; i++) {
        struct fw_rl_ranked_service *s =
            g_ptr_array_index(r->ranks.services, i);

        s->objective_us = shortest_objective_us(r, s->name);
    }
}

static struct fw_rl_ranked_service *
add_service(struct fw_relay *r, const struct fw_rl_call *c)
{
    struct fw_rl_ranked_service *s = g_new0(struct fw_rl_ranked_service, 1);

    if (!r->ranks.services->len) {
        Fw_Ranks_RegisterMetrics(r);
    }
    s->name = g_intern_string(c->service);
    s->hash = c->service_hash;
    s->objective_us = shortest_objective_us(r, c->service);
    g_ptr_array_add(r->ranks.services, s);
    return s;
}

struct fw_rl_ranked_service *
Fw_Ranks_ServiceOf(struct fw_relay *r, const struct fw_rl_call *c)
{
    if (!c->service_hash || !Fw_ServiceDemand_Ranks(r, c->service_hash)) {
        return NULL;
    }
    for (guint i = 0; i < r->ranks.services->len; i++) {
        struct fw_rl_ranked_service *s =
            g_ptr_array_index(r->ranks.services, i);

        if (s->hash == c->service_hash) {
            return s;
        }
    }
    return add_service(r, c);
}

/*
 * A response that is late is still of use: less urgent requests wait as long
 * as a stream of usual length ends before the deadline, and its caller does
 * not abandon it.
 */
static int64_t
latest_start_us(struct fw_relay *r, const struct fw_rl_call *c)
{
    const struct fw_service_stats *stats = Fw_ServiceStats_Get(r, c->service);
    double us = stats->first_event_us.mean + stats->stream_us.mean +
                FW_STREAM_DEVIATIONS * stats->stream_us.dev;

    int64_t latest_us = c->deadline_us - (int64_t)us;
    double first_us = stats->first_event_us.mean +
                      FW_STREAM_DEVIATIONS * stats->first_event_us.dev;

    if (c->route->objective_us <= 0 || !r->opts.patience_objectives) {
        return latest_us;
    }
    return MIN(latest_us,
               c->opened_us +
                   r->opts.patience_objectives * c->route->objective_us -
                   (int64_t)first_us);
}

void
Fw_Ranks_Open(struct fw_relay *r, struct fw_rl_call *c, int64_t now_us)
{
    unsigned ranks = Fw_ServiceDemand_Ranks(r, c->service_hash);

    if (!ranks) {
        return;
    }
    (void)Fw_Ranks_ServiceOf(r, c);
    c->item.rank = CLAMP(c->priority, 0, FW_RANKS - 1);
    c->is_less_urgent = (ranks & ((1U << c->item.rank) - 1)) != 0;
    c->late_from_us = now_us + c->queue_limit_us;
    Fw_Ranks_Count(r, c, FW_RL_RANK_ASKED);
    if (c->is_less_urgent && !r->opts.queue_limit_us) {
        c->queue_until_us = MAX(c->queue_until_us, latest_start_us(r, c));
    }
}

/* Mean need of the requests of all ranks, or that of @c. */
static double
usual_tokens(const struct fw_rl_ranked_service *s, const struct fw_rl_call *c)
{
    double asked = 0;
    double tokens = 0;

    for (int rank = 0; rank < FW_RANKS; rank++) {
        asked += s->sums[rank].asked;
        tokens += s->sums[rank].asked_tokens;
    }
    return asked > 0 && tokens > 0 ? tokens / asked : (double)c->kv_tokens;
}

static void
refresh(struct fw_relay *r, struct fw_rl_ranked_service *s,
        const struct fw_rl_call *c, int64_t now_us)
{
    if (s->sums_us != now_us) {
        s->sums_us = now_us;
        for (int rank = 0; rank < FW_RANKS; rank++) {
            Fw_Demand_GetTotal(r->service_demand.demand, s->hash, rank, now_us,
                               &s->sums[rank]);
        }
    }
    if (now_us - s->pool_us >= FW_POOL_AGE_MAX_US) {
        s->pool_us = now_us;
        Fw_Place_Pool(r, c, usual_tokens(s, c), now_us, &s->pool);
    }
}

/** struct competition - who competes with a request, in all resources. */
struct competition {
    struct fw_demand_sum urgent; /* what goes before it */
    double peers;
    double peer_tokens;
};

/*
 * Requests of the same rank that can still meet their objective go before
 * those that are late.
 */
static struct competition
compete(const struct fw_rl_ranked_service *s, const struct fw_rl_call *c,
        int is_late, double interval_s)
{
    const struct fw_demand_sum *own = &s->sums[c->item.rank];
    struct competition k = {0};

    for (int rank = 0; rank < c->item.rank; rank++) {
        const struct fw_demand_sum *sum = &s->sums[rank];

        k.urgent.asked += sum->asked;
        k.urgent.asked_tokens += sum->asked_tokens;
        k.urgent.asked_squares += sum->asked_squares;
        k.urgent.waiting += sum->waiting;
        k.urgent.waiting_tokens += sum->waiting_tokens;
    }
    if (is_late) {
        k.urgent.asked += Fw_Precedence_SurelyAsked(own->asked, own->asked);
        k.urgent.asked_tokens +=
            Fw_Precedence_SurelyAsked(own->asked_tokens, own->asked_squares);
        k.urgent.waiting += own->waiting - own->late;
        k.urgent.waiting_tokens += own->waiting_tokens - own->late_tokens;
        k.peers = MAX((double)own->late, 1);
        k.peer_tokens = MAX((double)own->late_tokens, (double)c->kv_tokens);
        return k;
    }
    k.peers =
        MAX((double)(own->waiting - own->late), 1) + own->asked * interval_s;
    k.peer_tokens = MAX((double)(own->waiting_tokens - own->late_tokens),
                        (double)c->kv_tokens) +
                    own->asked_tokens * interval_s;
    return k;
}

static double
interval_s(const struct fw_relay *r)
{
    return (double)r->opts.digest_period_us / FW_SEC;
}

/**
 * struct turnover - what streams hold and give back, of all instances.
 * @held_s: mean time that a stream holds its part
 */
struct turnover {
    double freed_tokens;
    double freed_slots;
    double held_s;
};

/*
 * What has become free in the last second, and the time that streams take by
 * that. This instance's own mean bounds both: streams of a lost engine end,
 * but their memory does not become free, and at first none ends.
 */
static struct turnover
measure_turnover(struct fw_relay *r, const struct fw_rl_ranked_service *s,
                 const char *service)
{
    const struct fw_service_stats *stats = Fw_ServiceStats_Get(r, service);
    double own_s = MAX(
        (stats->stream_us.mean + stats->first_event_us.mean) / FW_SEC, 0.001);
    double shortest_s = own_s / FW_STREAM_TIME_RATIO_MAX;
    struct turnover t = {.held_s = own_s};

    for (int rank = 0; rank < FW_RANKS; rank++) {
        t.freed_tokens += s->sums[rank].ended_tokens;
        t.freed_slots += s->sums[rank].ended;
    }
    t.freed_tokens = MIN(t.freed_tokens, s->pool.used_tokens / shortest_s);
    t.freed_slots = MIN(t.freed_slots, s->pool.running / shortest_s);
    if (t.freed_slots > 0) {
        t.held_s = CLAMP(s->pool.running / t.freed_slots, shortest_s, own_s);
    }
    return t;
}

static void
fill_memory(const struct fw_relay *r, const struct fw_rl_ranked_service *s,
            const struct fw_rl_call *c, const struct competition *k,
            const struct turnover *t, struct fw_precedence_capacity *out)
{
    *out = (struct fw_precedence_capacity){
        .free = s->pool.free_tokens,
        .freed = t->freed_tokens,
        .held_s = t->held_s,
        .unseen_s = interval_s(r),
        .need = (double)c->kv_tokens,
        .urgent_waiting = (double)k->urgent.waiting_tokens,
        .urgent_asked = k->urgent.asked_tokens,
        .urgent_squares = k->urgent.asked_squares,
        .peers = k->peer_tokens};
}

static void
fill_slots(const struct fw_relay *r, const struct fw_rl_ranked_service *s,
           const struct competition *k, const struct turnover *t,
           struct fw_precedence_capacity *out)
{
    *out = (struct fw_precedence_capacity){.free = s->pool.free_slots,
                                           .freed = t->freed_slots,
                                           .held_s = t->held_s,
                                           .unseen_s = interval_s(r),
                                           .need = 1,
                                           .urgent_waiting =
                                               (double)k->urgent.waiting,
                                           .urgent_asked = k->urgent.asked,
                                           .urgent_squares = k->urgent.asked,
                                           .peers = k->peers};
}

/* Prompts that may queue at the prefill engines; these drain by themselves. */
static void
fill_prefill(struct fw_relay *r, const struct fw_rl_ranked_service *s,
             const struct fw_rl_call *c, const struct competition *k,
             struct fw_precedence_capacity *out)
{
    double us_per_token =
        Fw_ServiceStats_Get(r, c->service)->prefill_us_per_token.mean;
    double wait_us = s->objective_us > 0
                         ? (double)s->objective_us * FW_PREFILL_WAIT_FRACTION
                         : FW_PREFILL_WAIT_DEFAULT_US;
    double freed = s->pool.prefill_engines * FW_SEC / MAX(us_per_token, 0.001);

    if (!s->pool.prefill_engines) {
        return;
    }
    *out = (struct fw_precedence_capacity){
        .free = freed * wait_us / FW_SEC - s->pool.queued_tokens,
        .freed = freed,
        .held_s = wait_us / FW_SEC,
        .need = (double)MAX(c->info.tokens_in, 1),
        .urgent_waiting = (double)k->urgent.waiting_tokens,
        .urgent_asked = k->urgent.asked_tokens,
        .urgent_squares = k->urgent.asked_squares,
        .peers = k->peer_tokens};
}

static void
fill(struct fw_relay *r, const struct fw_rl_ranked_service *s,
     const struct fw_rl_call *c, int is_late,
     struct fw_precedence_capacity out[FW_PRECEDENCE_RESOURCES])
{
    struct competition k = compete(s, c, is_late, interval_s(r));
    struct turnover t = measure_turnover(r, s, c->service);

    fill_memory(r, s, c, &k, &t, &out[FW_PRECEDENCE_MEMORY]);
    fill_slots(r, s, &k, &t, &out[FW_PRECEDENCE_SLOTS]);
    fill_prefill(r, s, c, &k, &out[FW_PRECEDENCE_PREFILL]);
}

/* Draws again once the views of the other instances have changed. */
static double
chance(struct fw_relay *r, struct fw_rl_call *c, int64_t now_us)
{
    if (!c->chance_us || now_us - c->chance_us >= r->opts.digest_period_us) {
        c->chance_us = now_us;
        c->chance = g_rand_double(r->rand);
    }
    return c->chance;
}

void
Fw_Ranks_Decide(struct fw_relay *r, struct fw_rl_call *c, int64_t now_us,
                struct fw_precedence_decision *out)
{
    struct fw_rl_ranked_service *s = Fw_Ranks_ServiceOf(r, c);
    struct fw_precedence_request q = {
        .waited = (double)(now_us - c->opened_us) /
                  (double)MAX(c->queue_until_us - c->opened_us, 1),
        .chance = chance(r, c, now_us),
        .interval_s = interval_s(r)};

    refresh(r, s, c, now_us);
    fill(r, s, c, c->is_late, q.capacity);
    Fw_Precedence_Decide(&q, out);
    out->place |= FW_FAULT("ranks-ignored");
}

/* Longest expected wait for one of the resources that streams hold. */
static int64_t
expected_wait_us(struct fw_relay *r, const struct fw_rl_ranked_service *s,
                 const struct fw_rl_call *c, int is_late)
{
    struct fw_precedence_capacity capacity[FW_PRECEDENCE_RESOURCES] = {0};

    fill(r, s, c, is_late, capacity);
    return MAX(Fw_Precedence_ExpectedWait(&capacity[FW_PRECEDENCE_MEMORY]),
               Fw_Precedence_ExpectedWait(&capacity[FW_PRECEDENCE_SLOTS]));
}

/*
 * The time until those before @c have been placed if no more arrive: the rank
 * may then be late, so that all of it counts as peers.
 */
static int64_t
backlog_wait_us(struct fw_relay *r, struct fw_rl_ranked_service *s,
                const struct fw_rl_call *c)
{
    struct fw_demand_sum *own = &s->sums[c->item.rank];
    struct fw_demand_sum saved = *own;
    int64_t us;

    own->asked = 0;
    own->asked_tokens = 0;
    own->late = 0;
    own->late_tokens = 0;
    us = expected_wait_us(r, s, c, 0);
    *own = saved;
    return us;
}

int
Fw_Ranks_RejectIfHopeless(struct fw_relay *r, struct fw_rl_call *c,
                          int64_t now_us, struct fw_rl_actions *out)
{
    struct fw_rl_ranked_service *s = Fw_Ranks_ServiceOf(r, c);

    if (!s || !c->is_less_urgent) {
        return 0;
    }
    refresh(r, s, c, now_us);
    if ((!c->is_late &&
         expected_wait_us(r, s, c, 0) <= c->late_from_us - now_us) ||
        backlog_wait_us(r, s, c) <= c->queue_until_us - now_us) {
        return 0;
    }
    Fw_Call_Reject(r, c, 503, Fw_Ranks_RetryAfter(r, c, now_us), "held_back",
                   now_us, out);
    return 1;
}

int
Fw_Ranks_TickQueued(struct fw_relay *r, struct fw_rl_call *c, int64_t now_us,
                    struct fw_rl_actions *out)
{
    if (!c->is_less_urgent || c->is_late || now_us < c->late_from_us) {
        return 0;
    }
    Fw_ServiceDemand_SetLate(r, c);
    return Fw_Ranks_RejectIfHopeless(r, c, now_us, out);
}

int64_t
Fw_Ranks_RetryAfter(struct fw_relay *r, const struct fw_rl_call *c,
                    int64_t now_us)
{
    struct fw_rl_ranked_service *s =
        c->is_less_urgent ? Fw_Ranks_ServiceOf(r, c) : NULL;
    int64_t longest_us;
    int64_t wait_us;

    if (!s) {
        return Fw_Stream_RetryAfter(r, c);
    }
    longest_us = MAX((c->deadline_us - now_us) / FW_RETRY_LEFT_FRACTION,
                     FW_RETRY_MIN_US);
    wait_us = CLAMP(backlog_wait_us(r, s, c), FW_RETRY_MIN_US, longest_us);
    return (int64_t)((double)wait_us * g_rand_double_range(r->rand, 0.5, 1.0));
}
