/*
 * Precedence of generation requests by rank: when less urgent ones wait, and
 * the order in which queued ones are placed. The decision itself is
 * src/decide/precedence.h.
 */
#ifndef FW_RELAY_RANKS_H
#define FW_RELAY_RANKS_H

#include "base/metrics.h"
#include "demand/demand.h"
#include "relay/relay.h"

struct fw_precedence_decision;
struct fw_rl_call;

/**
 * struct fw_rl_pool - decode and prefill engines of a service that may get
 * requests, with the load of all instances.
 * @free_tokens: memory left for requests of the size asked about
 * @used_tokens, @running: of the streams at all decode engines in service
 * @queued_tokens: prompt tokens at the prefill engines
 */
struct fw_rl_pool {
    double free_tokens;
    double used_tokens;
    double free_slots;
    double running;
    int prefill_engines;
    double queued_tokens;
};

/**
 * struct fw_rl_ranked_service - a service whose requests have several ranks.
 * @name: interned
 * @objective_us: objective of its most urgent route, 0 for none
 * @pool, @pool_us: its engines, as of that time, and what this instance has
 *     placed since
 * @sums, @sums_us: demand of all instances by rank, as of that time
 * @is_blocked: a request found no engine in this round of placements
 * @n_held: requests of this instance that are held back
 * @is_holding: the log says that requests are held back
 * @last_held_us: when one was last held back
 * @window_us, @released: requests placed after they were held back, in the
 *     window that began then
 */
struct fw_rl_ranked_service {
    const char *name;
    uint64_t hash;
    int64_t objective_us;
    struct fw_rl_pool pool;
    int64_t pool_us;
    struct fw_demand_sum sums[FW_RANKS];
    int64_t sums_us;
    int is_blocked;
    int n_held;
    int is_holding;
    int64_t last_held_us;
    int64_t window_us;
    int released;
};

/** enum fw_rl_rank_metric - what is counted by rank. */
enum fw_rl_rank_metric {
    FW_RL_RANK_ASKED,
    FW_RL_RANK_WAITING,
    FW_RL_RANK_PLACED,
    FW_RL_RANK_REJECTED,
    FW_RL_RANK_YIELDED,
    FW_RL_RANK_METRICS,
};

/**
 * struct fw_rl_ranks - state of the precedence of ranks.
 * @services: struct fw_rl_ranked_service
 * @metrics: registered when the first of @services is added
 */
struct fw_rl_ranks {
    GPtrArray *services;
    struct fw_metric metrics[FW_RL_RANK_METRICS][FW_RANKS];
    char labels[FW_RANKS][16];
};

/* ranks.c */
void
Fw_Ranks_Init(struct fw_relay *r);
void
Fw_Ranks_Clear(struct fw_relay *r);
/* The configuration has changed. */
void
Fw_Ranks_ApplyRules(struct fw_relay *r);
/* Whether ranks have precedence in any service. */
int
Fw_Ranks_AreInForce(const struct fw_relay *r);
/* The ranked service of @c, NULL if its requests have one rank. */
struct fw_rl_ranked_service *
Fw_Ranks_ServiceOf(struct fw_relay *r, const struct fw_rl_call *c);
/* Sets the rank of the new request @c, and how long it may wait. */
void
Fw_Ranks_Open(struct fw_relay *r, struct fw_rl_call *c, int64_t now_us);
/*
 * Rejects the less urgent request @c if it can't be served in the time that is
 * left. Return: nonzero if it was rejected and freed.
 */
int
Fw_Ranks_RejectIfHopeless(struct fw_relay *r, struct fw_rl_call *c,
                          int64_t now_us, struct fw_rl_actions *out);
/*
 * Notes that the queued request @c can no longer meet its objective. Return:
 * nonzero if it was rejected and freed.
 */
int
Fw_Ranks_TickQueued(struct fw_relay *r, struct fw_rl_call *c, int64_t now_us,
                    struct fw_rl_actions *out);
/* Whether the less urgent request @c is placed now or waits. */
void
Fw_Ranks_Decide(struct fw_relay *r, struct fw_rl_call *c, int64_t now_us,
                struct fw_precedence_decision *out);
/* Retry-After in us for the rejected stream @c. */
int64_t
Fw_Ranks_RetryAfter(struct fw_relay *r, const struct fw_rl_call *c,
                    int64_t now_us);

/* ranks_queue.c */
/* Requests reservations for queued requests, more urgent ranks first. */
void
Fw_Ranks_PlaceQueued(struct fw_relay *r, int64_t now_us,
                     struct fw_rl_actions *out);

/* ranks_report.c */
/* Counts a request of a ranked service. */
void
Fw_Ranks_Count(struct fw_relay *r, const struct fw_rl_call *c,
               enum fw_rl_rank_metric metric);
void
Fw_Ranks_RegisterMetrics(struct fw_relay *r);
/* Logs, once for each request, that @c is held back. */
void
Fw_Ranks_NoteHeld(struct fw_relay *r, struct fw_rl_call *c,
                  const struct fw_precedence_decision *d, int64_t now_us,
                  struct fw_rl_actions *out);
/* @c is no longer held back. */
void
Fw_Ranks_EndHeld(struct fw_relay *r, struct fw_rl_call *c);
void
Fw_Ranks_Tick(struct fw_relay *r, int64_t now_us, struct fw_rl_actions *out);

#endif
