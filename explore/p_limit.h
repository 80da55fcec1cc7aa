/* The promise of the budgets, and the account that checks it. */
#ifndef FW_P_LIMIT_H
#define FW_P_LIMIT_H

#include "explore/explore.h"
#include "explore/p_fleet_env.h"

#define FW_ACCOUNT_TEAMS 2

/**
 * struct fw_account - one team's bucket in real time, as it would be if
 * one place alone spent: a spend that finds it empty is over the rate.
 * @refused: refusals; @wrongful: of these, while the account had the tokens
 */
struct fw_account {
    struct fw_team team;
    double level;
    int64_t at_us;
    int64_t spent;
    int granted;
    int refused;
    int wrongful;
};

/* Brings @a up to date. */
void
Fw_Account_Settle(struct fw_account *a, int64_t real_us);

/** struct fw_limit_check_grant - a granted request that may be refunded. */
struct fw_limit_check_grant {
    int instance;
    uint64_t boot;
    int team;
    int64_t tokens;
};

/** struct fw_limit_check_refund - tokens that may come back to a bucket until
 * then. */
struct fw_limit_check_refund {
    int team;
    double tokens;
    int64_t until_us;
};

/** struct fw_limit_check - accounts and what is open, for one world. */
struct fw_limit_check {
    struct fw_account accounts[FW_ACCOUNT_TEAMS];
    uint64_t ticket;
    GArray *pending;  /* struct fw_limit_check_request, asked and unanswered */
    GArray *granted;  /* struct fw_limit_check_grant */
    GArray *refunds;  /* struct fw_limit_check_refund */
    int64_t over;     /* tokens spent over rate and burst */
    int64_t retry_us; /* of the last refusal */
    int strict;       /* the first overspend is a breach */
};

/** struct fw_limit_check_request - @ticket of @instance asked for @tokens. */
struct fw_limit_check_request {
    uint64_t ticket;
    int instance;
    int team;
    int64_t tokens;
};

/* Sets up @env for two teams of one partition; @term_us: life of leases. */
void
Fw_LimitCheck_Init(struct fw_limit_check *c, struct fw_fleet_env *env,
                   int64_t term_us);
void
Fw_LimitCheck_Clear(struct fw_limit_check *c, struct fw_fleet_env *env);
void
Fw_LimitCheck_Ask(struct fw_limit_check *c, struct fw_fleet_env *env,
                  int instance, int team, int64_t tokens);
void
Fw_LimitCheck_RefundNow(struct fw_limit_check *c, struct fw_fleet_env *env,
                        int instance, int team, int64_t tokens);
/* A finished request gives back some of what it was granted. */
void
Fw_LimitCheck_RefundRandom(struct fw_limit_check *c, struct fw_fleet_env *env);

void
Fw_Explore_Limit(struct fw_run *run);

#endif
