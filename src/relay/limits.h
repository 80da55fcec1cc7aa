/* Teams' allowances, and the retry budgets of services. */
#ifndef FW_RELAY_LIMITS_H
#define FW_RELAY_LIMITS_H

#include "relay/relay.h"

struct fw_rl_call;

/**
 * struct fw_rl_allowance - this instance's view of a team's token bucket.
 * @hash: hash of the team's name
 * @rate: refill rate, tokens per second
 * @burst: capacity, tokens
 * @level: tokens left; negative if other instances spent more than was known
 * @fleet_share: fraction of all known instances that are live, as of @at_us
 * @at_us: time up to which the bucket was refilled
 * @spent: tokens spent by this instance since its start
 * @leaf_spent: tokens spent by this hub's leaves, as counted by this instance
 * @digest_spent: sum of @spent and @leaf_spent last sent to the other hubs
 * @acknowledged: part of @spent that hubs have certainly counted
 * @report_spent: @spent as of the last report
 * @created_us: when the bucket was created
 * @adopted: the level was taken from another instance; until then it is the
 *     initial estimate
 */
struct fw_rl_allowance {
    uint64_t hash;
    int64_t rate;
    int64_t burst;
    double level;
    double fleet_share;
    int64_t at_us;
    int64_t spent;
    int64_t leaf_spent;
    int64_t digest_spent;
    int64_t acknowledged;
    int64_t report_spent;
    int64_t created_us;
    int adopted;
};

/* Two slots more than the window has; see retry_budget.c. */
#define FW_RL_RETRY_BUDGET_SLOTS 16

/**
 * struct fw_rl_retry_budget - retry budget of one service.
 * @service: its interned name
 * @slot: number of the current time slot
 * @requests: ring of counts per time slot
 * @retries: ring of counts per time slot
 */
struct fw_rl_retry_budget {
    const char *service;
    int64_t slot;
    int requests[FW_RL_RETRY_BUDGET_SLOTS];
    int retries[FW_RL_RETRY_BUDGET_SLOTS];
};

/* allowance.c */
/* Creates or resizes the buckets after a change of the configuration. */
void
Fw_Allowance_ApplyRules(struct fw_relay *r, int64_t now_us,
                        struct fw_rl_actions *out);
/*
 * Takes @cost from a team's bucket. Return: nonzero if it was taken, otherwise
 * @retry_us receives when to retry.
 */
int
Fw_Allowance_Take(struct fw_relay *r, const struct fw_rl_team_rule *t,
                  int64_t cost, int64_t now_us, int64_t *retry_us);
/* Level of the bucket in tokens and fleet_share, to log a rejection. */
void
Fw_Allowance_Describe(const struct fw_relay *r, const char *team,
                      int64_t *level, int *part_permille);
/* Returns the cost of a request that did not run. */
void
Fw_Allowance_Refund(struct fw_relay *r, const char *team, int64_t cost);
/*
 * Another hub and its leaves have spent @tokens more of the team with @hash;
 * @level is the level of the bucket there.
 */
void
Fw_Allowance_NoteHubSpending(struct fw_relay *r, uint64_t hash, int64_t tokens,
                             int64_t level, int64_t now_us);
/* A leaf of this hub has spent @tokens more of the team with @hash. */
void
Fw_Allowance_NoteLeafSpending(struct fw_relay *r, uint64_t hash,
                              int64_t tokens, int64_t now_us);

/**
 * struct fw_rl_hub_level - level of a team's bucket as sent by the hub.
 * @hash: hash of the team's name
 * @level: tokens
 * @acknowledged: tokens spent by this instance that the hub has counted
 * @is_current: answers the last report; other messages may be outdated, and
 *     can only lower the level
 */
struct fw_rl_hub_level {
    uint64_t hash;
    int64_t level;
    int64_t acknowledged;
    int is_current;
};

/* Adopts the level of the hub, less what it has not counted yet. */
void
Fw_Allowance_ApplyHubLevel(struct fw_relay *r,
                           const struct fw_rl_hub_level *level,
                           int64_t now_us);
/*
 * The hub has counted the last report. All buckets are set to full, less what
 * was spent since the report: the hub's reply lists only those not full.
 */
void
Fw_Allowance_AcknowledgeReport(struct fw_relay *r, int64_t now_us);
/* Whether the bucket is full, up to rounding. */
int
Fw_Allowance_IsFull(struct fw_relay *r, struct fw_rl_allowance *p,
                    int64_t now_us);

/* retry_budget.c */
/*
 * Counts a request, which adds to the budget of its service. @sent_us: when
 * its caller has sent it at the earliest
 */
void
Fw_RetryBudget_NoteRequest(struct fw_relay *r, const char *service,
                           int64_t sent_us, int64_t now_us);
/*
 * Takes back a request that was counted at @counted_us, and @retries that were
 * charged since.
 */
void
Fw_RetryBudget_TakeBack(struct fw_relay *r, const char *service,
                        int64_t counted_us, int retries, int64_t now_us);
/* Whether the budget allows for @n retries now; charges nothing. */
int
Fw_RetryBudget_Allows(struct fw_relay *r, const struct fw_rl_call *c, int n,
                      int64_t now_us);
/*
 * Charges the service of @c for @n calls that reach its servers beyond the
 * first of a request. Return: nonzero if the budget allows them.
 */
int
Fw_RetryBudget_Take(struct fw_relay *r, const struct fw_rl_call *c, int n,
                    int64_t now_us, struct fw_rl_actions *out);

#endif
