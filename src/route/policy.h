/*
 * Pure routing policies over plain state: cost estimates, admission, retry
 * budget, circuit breaker and prefix cache table.
 */
#ifndef FW_ROUTE_POLICY_H
#define FW_ROUTE_POLICY_H

#include <glib.h>
#include <stdint.h>

#include "config/config.h"
#include "route/route_msg.h"

/* cost.c; times in microseconds. */
/* Expected prefill time; @rate in tokens per second, 0 if not positive. */
int64_t
Fw_Cost_PrefillUs(int64_t tokens, int64_t cached, int64_t rate);
/* KV link rate from failure domain @domain to @decode, in bytes per second;
 * a default where the configuration names none. */
int64_t
Fw_Cost_LinkRate(const struct fw_upstream *decode, const char *domain);
/* Time to move the KV of @tokens; @kv_bytes is per token, @rate in bytes per
 * second. */
int64_t
Fw_Cost_TransferUs(int64_t tokens, int64_t kv_bytes, int64_t rate);

/**
 * struct fw_admission - what bounds the time a request may wait for prefill.
 * @arrived_us: when the request came in
 * @deadline_us: when the last token is due, 0 for none
 * @ttft_us: target for the time to first token, used without a deadline
 * @queue_max_us: longest time in the queue, used without a deadline
 * @service_us: expected time from the start of prefill to the first token
 * @stream_us: expected time from the first token to the last
 */
struct fw_admission {
    int64_t arrived_us;
    int64_t deadline_us;
    int64_t ttft_us;
    int64_t queue_max_us;
    int64_t service_us;
    int64_t stream_us;
};

/* admit.c */
/* Latest time at which prefill may begin. */
int64_t
Fw_Admit_LatestStartUs(const struct fw_admission *a);
/* Retry-After for a refused request: @wait_us is the expected queueing time,
 * @slack_us how much of it the request can afford. Never 0. */
int64_t
Fw_Admit_RetryAfterUs(int64_t wait_us, int64_t slack_us);

/**
 * struct fw_retry_budget - token bucket that limits retries to a share of
 * the requests.
 * @earn_permille: thousandths of a retry earned by each first attempt
 * @balance_milli: thousandths of a retry available
 */
struct fw_retry_budget {
    int earn_permille;
    int64_t balance_milli;
};

/* retry.c */
void
Fw_Retry_Init(struct fw_retry_budget *b, int permille);
void
Fw_Retry_Earn(struct fw_retry_budget *b);
/* Takes one retry from the budget. Return: nonzero if one was available. */
int
Fw_Retry_Spend(struct fw_retry_budget *b);

/**
 * struct fw_breaker - circuit breaker of an upstream that fails or is slow.
 * @n_failures, @n_slow: consecutive failures and slow calls
 * @until_us: while open, when a probe is allowed; while half open, when the
 *            probe counts as lost and another is allowed
 * @open_us: length of the last open period, doubled when it opens again;
 *           0 after a success
 */
struct fw_breaker {
    enum {
        FW_BREAKER_CLOSED,
        FW_BREAKER_OPEN,
        FW_BREAKER_HALF_OPEN
    } state;
    int n_failures;
    int n_slow;
    int64_t until_us;
    int64_t open_us;
};

/* breaker_cmd.c */
/* Return: nonzero if this failure opened the breaker. */
int
Fw_Breaker_RecordFailure(struct fw_breaker *b, int64_t now_us);
/*
 * A call that took @took_us succeeded; it is slow if that is well above
 * @expected_us, the time expected of such a call (0: unknown).
 *
 * Return: nonzero if slow calls opened the breaker.
 */
int
Fw_Breaker_RecordSuccess(struct fw_breaker *b, int64_t took_us,
                         int64_t expected_us, int64_t now_us);
/* A request is sent; it is the probe if the open period has passed. */
void
Fw_Breaker_RecordRequest(struct fw_breaker *b, int64_t now_us);
/* breaker_query.c */
/* Nonzero if a request or a probe may be sent. */
int
Fw_Breaker_Allows(const struct fw_breaker *b, int64_t now_us);

#define FW_PREFIX_WAYS 4
#define FW_PREFIX_SETS 2048

/**
 * struct fw_prefix_table - set-associative table of the prefixes expected in
 * the engines' caches.
 *
 * Of fixed size. Each set is ordered by last addition; a full set evicts its
 * oldest entry, which costs at most a cache hit.
 */
struct fw_prefix_table {
    uint64_t key[FW_PREFIX_SETS][FW_PREFIX_WAYS];
};

/* prefix_cmd.c; @engine is the engine's Fw_Engine_CacheKey(). */
void
Fw_Prefix_Add(struct fw_prefix_table *t, uint64_t engine, uint64_t prefix);
void
Fw_Prefix_Remove(struct fw_prefix_table *t, uint64_t engine, uint64_t prefix);
/* prefix_query.c */
/* Hashes the prefixes of @prompt, which may be NULL. */
void
Fw_Prefix_Hash(GBytes *prompt, struct fw_prefixes *p);
/* Approximate number of tokens in the prefix fw_prefixes.hash[@level]. */
int64_t
Fw_Prefix_LevelTokens(int level);
/* Tokens of the longest prefix in the table; 0 if there is none. */
int64_t
Fw_Prefix_CachedTokens(const struct fw_prefix_table *t, uint64_t engine,
                       const struct fw_prefixes *p);

#endif
