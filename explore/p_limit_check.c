/* Reference token buckets for the tokens that all instances grant. */
#include <string.h>

#include "explore/p_limit.h"

/* An instance whose clock runs fast refills its bucket faster. */
#define DRIFT_FACTOR (1.0 + FW_ROLE_DRIFT_PPM / 1e6)
/* Time in which an instance returns refunded tokens that it cannot keep. */
#define REFUND_DELAY_MAX_US (5 * FW_SEC)

void
Fw_Account_Refill(struct fw_account *account, int64_t real_us)
{
    double dt = (double)MAX(real_us - account->refilled_us, 0) / FW_SEC;

    account->refilled_us = MAX(real_us, account->refilled_us);
    account->level =
        MIN(account->level + dt * (double)account->team.rate * DRIFT_FACTOR,
            (double)account->team.burst);
}

/*
 * The time at which a refund reaches the bucket of an instance is unknown. So
 * until its latest arrival each refunded token may cover one token of excess;
 * after that the rest is added to the reference bucket. Return: the part of
 * @missing that is not covered.
 */
static double
cover_from_refunds(struct fw_limit_check *checker, int team, double missing)
{
    for (guint i = 0; i < checker->refunds->len; i++) {
        struct fw_limit_check_refund *r =
            &g_array_index(checker->refunds, struct fw_limit_check_refund, i);
        double take = r->team == team ? MIN(missing, r->tokens) : 0;
        r->tokens -= take;
        missing -= take;
    }
    return missing;
}

/* Adds refunds that must have arrived to their buckets. */
static void
apply_due_refunds(struct fw_limit_check *checker, int64_t real_us)
{
    for (guint i = checker->refunds->len; i > 0; i--) {
        struct fw_limit_check_refund r = g_array_index(
            checker->refunds, struct fw_limit_check_refund, i - 1);
        struct fw_account *account = &checker->accounts[r.team];
        if (real_us < r.until_us) {
            continue;
        }
        Fw_Account_Refill(account, r.until_us);
        account->level =
            MIN(account->level + r.tokens, (double)account->team.burst);
        g_array_remove_index(checker->refunds, i - 1);
    }
}

static void
on_granted(struct fw_limit_check *checker, struct fw_fleet_env *env,
           const struct fw_limit_check_request *req)
{
    struct fw_account *account = &checker->accounts[req->team];
    struct fw_limit_check_grant grant = {
        .instance = req->instance,
        .boot = env->instances[req->instance].self.boot,
        .team = req->team,
        .tokens = req->tokens};

    apply_due_refunds(checker, env->real_us);
    Fw_Account_Refill(account, env->real_us);
    account->level -= (double)req->tokens;
    account->spent += req->tokens;
    Fw_Run_Trace(
        env->run, "%8.3f %s spends %" G_GINT64_FORMAT " of %s, leaving %.0f",
        (double)env->real_us / FW_SEC, env->instances[req->instance].self.name,
        req->tokens, account->team.name, account->level);
    account->granted++;
    g_array_append_val(checker->granted, grant);
    if (account->level < -1.0) {
        account->level =
            -cover_from_refunds(checker, req->team, -account->level);
    }
    if (account->level < -1.0) {
        checker->overspent_tokens += (int64_t)-account->level;
        if (checker->fail_on_overspend) {
            Fw_Run_Fail(env->run,
                        "at %.3f team %s spent %.0f tokens over its rate "
                        "and burst",
                        (double)env->real_us / FW_SEC, account->team.name,
                        -account->level);
        }
        account->level = 0;
    }
}

static void
on_answer(struct fw_limit_check *checker, struct fw_fleet_env *env,
          int instance, const struct fw_limit_answer *ans)
{
    for (guint i = 0; i < checker->pending->len; i++) {
        struct fw_limit_check_request req =
            g_array_index(checker->pending, struct fw_limit_check_request, i);
        struct fw_account *account = &checker->accounts[req.team];
        if (req.ticket != ans->ticket || req.instance != instance) {
            continue;
        }
        g_array_remove_index_fast(checker->pending, i);
        if (ans->granted) {
            on_granted(checker, env, &req);
        }
        else {
            Fw_Account_Refill(account, env->real_us);
            account->refused++;
            checker->retry_us = ans->retry_after_us;
            account->wrongful += account->level >= (double)req.tokens;
        }
        return;
    }
    Fw_Run_Fail(env->run, "an answer for an unknown request");
}

static void
take_answers(struct fw_fleet_env *env, void *arg)
{
    struct fw_limit_check *checker = arg;
    struct fw_limit_answer ans;

    for (int i = 0; i < env->n; i++) {
        while (Fw_FleetEnv_IsRunning(env, i) &&
               Fw_Limit_TakeAnswer(env->instances[i].limit, &ans)) {
            on_answer(checker, env, i, &ans);
        }
    }
}

static void
add_team(struct fw_limit_check *checker, int i, GHashTable *teams,
         const char *name, int64_t rate, int64_t burst)
{
    struct fw_team *t = &checker->accounts[i].team;

    *t = (struct fw_team){.version = 1, .rate = rate, .burst = burst};
    g_strlcpy(t->name, name, sizeof(t->name));
    checker->accounts[i].level = (double)burst;
    g_hash_table_insert(teams, t->name, t);
}

void
Fw_LimitCheck_Init(struct fw_limit_check *checker, struct fw_fleet_env *env,
                   int64_t lease_us)
{
    struct fw_config *cfg = g_new0(struct fw_config, 1);

    memset(checker, 0, sizeof(*checker));
    checker->pending =
        g_array_new(FALSE, TRUE, sizeof(struct fw_limit_check_request));
    checker->refunds =
        g_array_new(FALSE, TRUE, sizeof(struct fw_limit_check_refund));
    checker->granted =
        g_array_new(FALSE, TRUE, sizeof(struct fw_limit_check_grant));
    cfg->next_offset = 2;
    cfg->teams = g_hash_table_new(g_str_hash, g_str_equal);
    add_team(checker, 0, cfg->teams, "large", 1000, 5000);
    add_team(checker, 1, cfg->teams, "small", 40, 400);
    env->use_roles = 1;
    env->role_wait_us[FW_ROLE_BUDGET] = lease_us;
    env->cfg = cfg;
    env->check = take_answers;
    env->arg = checker;
}

void
Fw_LimitCheck_Clear(struct fw_limit_check *checker, struct fw_fleet_env *env)
{
    struct fw_config *cfg = (struct fw_config *)env->cfg;

    Fw_FleetEnv_Clear(env);
    g_hash_table_unref(cfg->teams);
    g_free(cfg);
    g_array_unref(checker->pending);
    g_array_unref(checker->granted);
    g_array_unref(checker->refunds);
}

void
Fw_LimitCheck_Request(struct fw_limit_check *checker, struct fw_fleet_env *env,
                      int instance, int team, int64_t tokens)
{
    struct fw_limit_check_request req = {.ticket = ++checker->ticket,
                                         .instance = instance,
                                         .team = team,
                                         .tokens = tokens};
    struct fw_actions out;

    if (!Fw_FleetEnv_IsRunning(env, instance)) {
        return;
    }
    g_array_append_val(checker->pending, req);
    Fw_Actions_Init(&out);
    Fw_Limit_Request(env->instances[instance].limit,
                     &checker->accounts[team].team, req.ticket, tokens,
                     Fw_FleetEnv_LocalTime(env, instance), &out);
    Fw_FleetEnv_PerformActions(env, instance, &out);
    take_answers(env, checker);
}

void
Fw_LimitCheck_RefundTokens(struct fw_limit_check *checker,
                           struct fw_fleet_env *env, int instance, int team,
                           int64_t tokens)
{
    struct fw_account *account = &checker->accounts[team];
    struct fw_limit_check_refund refund = {
        .team = team,
        .tokens = (double)tokens,
        .until_us = env->real_us + env->delay_max_us + REFUND_DELAY_MAX_US,
    };
    struct fw_actions out;

    g_array_append_val(checker->refunds, refund);
    Fw_Run_Trace(env->run, "%8.3f %s refunds %" G_GINT64_FORMAT " of %s",
                 (double)env->real_us / FW_SEC,
                 env->instances[instance].self.name, tokens,
                 account->team.name);
    Fw_Actions_Init(&out);
    Fw_Limit_Refund(env->instances[instance].limit, &account->team, tokens,
                    Fw_FleetEnv_LocalTime(env, instance), &out);
    Fw_FleetEnv_PerformActions(env, instance, &out);
}

void
Fw_LimitCheck_RefundRandom(struct fw_limit_check *checker,
                           struct fw_fleet_env *env)
{
    struct fw_limit_check_grant grant;
    guint i;

    if (checker->granted->len == 0) {
        return;
    }
    i = (guint)Fw_FleetEnv_RandBelow(env, (gint32)checker->granted->len);
    grant = g_array_index(checker->granted, struct fw_limit_check_grant, i);
    g_array_remove_index_fast(checker->granted, i);
    if (!Fw_FleetEnv_IsRunning(env, grant.instance) ||
        env->instances[grant.instance].self.boot != grant.boot ||
        grant.tokens == 0) {
        return;
    }
    Fw_LimitCheck_RefundTokens(
        checker, env, grant.instance, grant.team,
        Fw_FleetEnv_RandBelow(env, (gint32)grant.tokens));
}
