/* Reference token buckets for the tokens that all instances grant. */
#include <string.h>

#include "explore/p_limit.h"

/* An instance whose clock runs fast refills its bucket faster. */
#define DRIFT_FACTOR (1.0 + FW_ROLE_DRIFT_PPM / 1e6)
/* Time in which an instance returns refunded tokens that it cannot keep. */
#define REFUND_DELAY_MAX_US (5 * FW_SEC)

void
Fw_Account_Refill(struct fw_account *a, int64_t real_us)
{
    double dt = (double)MAX(real_us - a->at_us, 0) / FW_SEC;

    a->at_us = MAX(real_us, a->at_us);
    a->level = MIN(a->level + dt * (double)a->team.rate * DRIFT_FACTOR,
                   (double)a->team.burst);
}

/*
 * The time at which a refund reaches the bucket of an instance is unknown. So
 * until its latest arrival each refunded token may cover one token of excess;
 * after that the rest is added to the reference bucket. Return: the part of
 * @missing that is not covered.
 */
static double
cover_from_refunds(struct fw_limit_check *c, int team, double missing)
{
    for (guint i = 0; i < c->refunds->len; i++) {
        struct fw_limit_check_refund *r =
            &g_array_index(c->refunds, struct fw_limit_check_refund, i);
        double take = r->team == team ? MIN(missing, r->tokens) : 0;
        r->tokens -= take;
        missing -= take;
    }
    return missing;
}

/* Adds refunds that must have arrived to their buckets. */
static void
apply_due_refunds(struct fw_limit_check *c, int64_t real_us)
{
    for (guint i = c->refunds->len; i > 0; i--) {
        struct fw_limit_check_refund r =
            g_array_index(c->refunds, struct fw_limit_check_refund, i - 1);
        struct fw_account *a = &c->accounts[r.team];
        if (real_us < r.until_us) {
            continue;
        }
        Fw_Account_Refill(a, r.until_us);
        a->level = MIN(a->level + r.tokens, (double)a->team.burst);
        g_array_remove_index(c->refunds, i - 1);
    }
}

static void
on_granted(struct fw_limit_check *c, struct fw_fleet_env *env,
           const struct fw_limit_check_request *req)
{
    struct fw_account *a = &c->accounts[req->team];
    struct fw_limit_check_grant grant = {
        .instance = req->instance,
        .boot = env->instances[req->instance].self.boot,
        .team = req->team,
        .tokens = req->tokens};

    apply_due_refunds(c, env->real_us);
    Fw_Account_Refill(a, env->real_us);
    a->level -= (double)req->tokens;
    a->spent += req->tokens;
    Fw_Run_Trace(
        env->run, "%8.3f %s spends %" G_GINT64_FORMAT " of %s, leaving %.0f",
        (double)env->real_us / FW_SEC, env->instances[req->instance].self.name,
        req->tokens, a->team.name, a->level);
    a->granted++;
    g_array_append_val(c->granted, grant);
    if (a->level < -1.0) {
        a->level = -cover_from_refunds(c, req->team, -a->level);
    }
    if (a->level < -1.0) {
        c->overspent_tokens += (int64_t)-a->level;
        if (c->fail_on_overspend) {
            Fw_Run_Fail(env->run,
                        "at %.3f team %s spent %.0f tokens over its rate "
                        "and burst",
                        (double)env->real_us / FW_SEC, a->team.name,
                        -a->level);
        }
        a->level = 0;
    }
}

static void
on_answer(struct fw_limit_check *c, struct fw_fleet_env *env, int instance,
          const struct fw_limit_answer *ans)
{
    for (guint i = 0; i < c->pending->len; i++) {
        struct fw_limit_check_request req =
            g_array_index(c->pending, struct fw_limit_check_request, i);
        struct fw_account *a = &c->accounts[req.team];
        if (req.ticket != ans->ticket || req.instance != instance) {
            continue;
        }
        g_array_remove_index_fast(c->pending, i);
        if (ans->granted) {
            on_granted(c, env, &req);
        }
        else {
            Fw_Account_Refill(a, env->real_us);
            a->refused++;
            c->retry_us = ans->retry_after_us;
            a->wrongful += a->level >= (double)req.tokens;
        }
        return;
    }
    Fw_Run_Fail(env->run, "an answer for an unknown request");
}

static void
take_answers(struct fw_fleet_env *env, void *arg)
{
    struct fw_limit_check *c = arg;
    struct fw_limit_answer ans;

    for (int i = 0; i < env->n; i++) {
        while (Fw_FleetEnv_IsRunning(env, i) &&
               Fw_Limit_TakeAnswer(env->instances[i].limit, &ans)) {
            on_answer(c, env, i, &ans);
        }
    }
}

static void
add_team(struct fw_limit_check *c, int i, GHashTable *teams, const char *name,
         int64_t rate, int64_t burst)
{
    struct fw_team *t = &c->accounts[i].team;

    *t = (struct fw_team){.version = 1, .rate = rate, .burst = burst};
    g_strlcpy(t->name, name, sizeof(t->name));
    c->accounts[i].level = (double)burst;
    g_hash_table_insert(teams, t->name, t);
}

void
Fw_LimitCheck_Init(struct fw_limit_check *c, struct fw_fleet_env *env,
                   int64_t term_us)
{
    struct fw_config *cfg = g_new0(struct fw_config, 1);

    memset(c, 0, sizeof(*c));
    c->pending =
        g_array_new(FALSE, TRUE, sizeof(struct fw_limit_check_request));
    c->refunds =
        g_array_new(FALSE, TRUE, sizeof(struct fw_limit_check_refund));
    c->granted = g_array_new(FALSE, TRUE, sizeof(struct fw_limit_check_grant));
    cfg->next_offset = 2;
    cfg->teams = g_hash_table_new(g_str_hash, g_str_equal);
    add_team(c, 0, cfg->teams, "large", 1000, 5000);
    add_team(c, 1, cfg->teams, "small", 40, 400);
    env->use_roles = 1;
    env->role_wait_us[FW_ROLE_BUDGET] = term_us;
    env->cfg = cfg;
    env->check = take_answers;
    env->arg = c;
}

void
Fw_LimitCheck_Clear(struct fw_limit_check *c, struct fw_fleet_env *env)
{
    struct fw_config *cfg = (struct fw_config *)env->cfg;

    Fw_FleetEnv_Clear(env);
    g_hash_table_unref(cfg->teams);
    g_free(cfg);
    g_array_unref(c->pending);
    g_array_unref(c->granted);
    g_array_unref(c->refunds);
}

void
Fw_LimitCheck_Request(struct fw_limit_check *c, struct fw_fleet_env *env,
                      int instance, int team, int64_t tokens)
{
    struct fw_limit_check_request req = {.ticket = ++c->ticket,
                                         .instance = instance,
                                         .team = team,
                                         .tokens = tokens};
    struct fw_actions out;

    if (!Fw_FleetEnv_IsRunning(env, instance)) {
        return;
    }
    g_array_append_val(c->pending, req);
    Fw_Actions_Init(&out);
    Fw_Limit_Request(env->instances[instance].limit, &c->accounts[team].team,
                     req.ticket, tokens, Fw_FleetEnv_LocalTime(env, instance),
                     &out);
    Fw_FleetEnv_PerformActions(env, instance, &out);
    take_answers(env, c);
}

void
Fw_LimitCheck_RefundTokens(struct fw_limit_check *c, struct fw_fleet_env *env,
                           int instance, int team, int64_t tokens)
{
    struct fw_account *a = &c->accounts[team];
    struct fw_limit_check_refund refund = {
        .team = team,
        .tokens = (double)tokens,
        .until_us = env->real_us + env->delay_max_us + REFUND_DELAY_MAX_US,
    };
    struct fw_actions out;

    g_array_append_val(c->refunds, refund);
    Fw_Run_Trace(env->run, "%8.3f %s refunds %" G_GINT64_FORMAT " of %s",
                 (double)env->real_us / FW_SEC,
                 env->instances[instance].self.name, tokens, a->team.name);
    Fw_Actions_Init(&out);
    Fw_Limit_Refund(env->instances[instance].limit, &a->team, tokens,
                    Fw_FleetEnv_LocalTime(env, instance), &out);
    Fw_FleetEnv_PerformActions(env, instance, &out);
}

void
Fw_LimitCheck_RefundRandom(struct fw_limit_check *c, struct fw_fleet_env *env)
{
    struct fw_limit_check_grant grant;
    guint i;

    if (c->granted->len == 0) {
        return;
    }
    i = (guint)Fw_FleetEnv_RandBelow(env, (gint32)c->granted->len);
    grant = g_array_index(c->granted, struct fw_limit_check_grant, i);
    g_array_remove_index_fast(c->granted, i);
    if (!Fw_FleetEnv_IsRunning(env, grant.instance) ||
        env->instances[grant.instance].self.boot != grant.boot ||
        grant.tokens == 0) {
        return;
    }
    Fw_LimitCheck_RefundTokens(
        c, env, grant.instance, grant.team,
        Fw_FleetEnv_RandBelow(env, (gint32)grant.tokens));
}
