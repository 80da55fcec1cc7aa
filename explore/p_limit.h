/*
 * Property of the rate limiter, and reference token buckets that check what
 * the instances of a fleet grant in sum.
 */
#ifndef FW_P_LIMIT_H
#define FW_P_LIMIT_H

#include "explore/explore.h"
#include "explore/p_fleet_env.h"

#define FW_LIMIT_CHECK_TEAMS 2

/**
 * struct fw_account - reference token bucket of a team, in real time.
 * @level: tokens in the bucket
 * @refilled_us: real time of @level
 * @spent: tokens granted by all instances
 * @granted, @refused: number of requests
 * @wrongful: refused requests that the bucket had the tokens for
 */
struct fw_account {
    struct fw_team team;
    double level;
    int64_t refilled_us;
    int64_t spent;
    int granted;
    int refused;
    int wrongful;
};

/* Refills the bucket for the time up to @real_us. */
void
Fw_Account_Refill(struct fw_account *account, int64_t real_us);

/**
 * struct fw_limit_check_grant - a granted request that may be refunded.
 * @boot: boot of the instance that granted it
 * @team: index of the team
 */
struct fw_limit_check_grant {
    int instance;
    uint64_t boot;
    int team;
    int64_t tokens;
};

/**
 * struct fw_limit_check_refund - a refund on its way to a bucket.
 * @team: index of the team
 * @tokens: rest of the refund that no overspending was charged to
 * @until_us: real time by which it has arrived
 */
struct fw_limit_check_refund {
    int team;
    double tokens;
    int64_t until_us;
};

/**
 * struct fw_limit_check - buckets and requests of one environment.
 * @ticket: ticket of the last request
 * @pending: requests without an answer, struct fw_limit_check_request
 * @granted: granted requests, struct fw_limit_check_grant
 * @refunds: refunds in flight, struct fw_limit_check_refund
 * @overspent_tokens: tokens granted in excess of rate and burst
 * @retry_us: retry delay of the last refusal
 * @fail_on_overspend: the first excess fails the run
 */
struct fw_limit_check {
    struct fw_account accounts[FW_LIMIT_CHECK_TEAMS];
    uint64_t ticket;
    GArray *pending;
    GArray *granted;
    GArray *refunds;
    int64_t overspent_tokens;
    int64_t retry_us;
    int fail_on_overspend;
};

/**
 * struct fw_limit_check_request - a request for tokens.
 * @instance: index of the instance that was asked
 * @team: index of the team
 */
struct fw_limit_check_request {
    uint64_t ticket;
    int instance;
    int team;
    int64_t tokens;
};

/* Configures @env, which must be initialised and have no instances started,
 * with two teams, "large" and "small". Leases live for @lease_us. */
void
Fw_LimitCheck_Init(struct fw_limit_check *checker, struct fw_fleet_env *env,
                   int64_t lease_us);
/* Clears @env as well. */
void
Fw_LimitCheck_Clear(struct fw_limit_check *checker, struct fw_fleet_env *env);
/* Requests tokens on an instance; does nothing when it is not running. */
void
Fw_LimitCheck_Request(struct fw_limit_check *checker, struct fw_fleet_env *env,
                      int instance, int team, int64_t tokens);
/* Refunds tokens on an instance, which must be running. */
void
Fw_LimitCheck_RefundTokens(struct fw_limit_check *checker,
                           struct fw_fleet_env *env, int instance, int team,
                           int64_t tokens);
/* Refunds a random part of a random grant, unless its instance is down, paused
 * or was restarted. */
void
Fw_LimitCheck_RefundRandom(struct fw_limit_check *checker,
                           struct fw_fleet_env *env);

void
Fw_Explore_Limit(struct fw_run *run);

#endif
