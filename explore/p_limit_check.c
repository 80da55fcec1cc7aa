/* The account of what the fleet spends in sum, by real time. */
#include <string.h>

#include "explore/p_limit.h"

/* Clocks that run fast refill fast, within the bound that is stated. */
#define DRIFT (1.0 + FW_ROLE_DRIFT_PPM / 1e6)

#define FW_REFUND_US (5 * FW_SEC) /* gathered before they are sent */

void
Fw_Account_Settle(struct fw_account *a, int64_t real_us)
{
    double dt = (double)MAX(real_us - a->at_us, 0) / FW_SEC;

    a->at_us = MAX(real_us, a->at_us);
    a->level = MIN(a->level + dt * (double)a->team.rate * DRIFT,
                   (double)a->team.burst);
}

/*
 * A refund counts when it reaches a bucket, which nobody outside can tell.
 * So each refunded token may stand in once for a token over the account, and
 * joins the account when the network can no longer hold it.
 */
static double
draw_refunds(struct fw_limit_check *c, int team, double missing)
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

static void
settle_refunds(struct fw_limit_check *c, int64_t real_us)
{
    for (guint i = c->refunds->len; i > 0; i--) {
        struct fw_limit_check_refund r =
            g_array_index(c->refunds, struct fw_limit_check_refund, i - 1);
        struct fw_account *a = &c->accounts[r.team];
        if (real_us < r.until_us) {
            continue;
        }
        Fw_Account_Settle(a, r.until_us);
        a->level = MIN(a->level + r.tokens, (double)a->team.burst);
        g_array_remove_index(c->refunds, i - 1);
    }
}

static void
on_granted(struct fw_limit_check *c, struct fw_fleet_env *w,
           const struct fw_limit_check_request *q)
{
    struct fw_account *a = &c->accounts[q->team];
    struct fw_limit_check_grant note = {.site = q->site,
                                        .boot = w->sites[q->site].self.boot,
                                        .team = q->team,
                                        .tokens = q->tokens};

    settle_refunds(c, w->real_us);
    Fw_Account_Settle(a, w->real_us);
    a->level -= (double)q->tokens;
    a->spent += q->tokens;
    Fw_Run_Trace(w->run,
                 "%8.3f %s spends %" G_GINT64_FORMAT " of %s, leaving %.0f",
                 (double)w->real_us / FW_SEC, w->sites[q->site].self.name,
                 q->tokens, a->team.name, a->level);
    a->granted++;
    g_array_append_val(c->granted, note);
    if (a->level < -1.0) {
        a->level = -draw_refunds(c, q->team, -a->level);
    }
    if (a->level < -1.0) {
        c->over += (int64_t)-a->level;
        if (c->strict) {
            Fw_Run_Breach(w->run,
                          "at %.3f team %s spent %.0f tokens over its rate "
                          "and burst",
                          (double)w->real_us / FW_SEC, a->team.name,
                          -a->level);
        }
        a->level = 0;
    }
}

static void
on_answer(struct fw_limit_check *c, struct fw_fleet_env *w, int site,
          const struct fw_limit_answer *ans)
{
    for (guint i = 0; i < c->pending->len; i++) {
        struct fw_limit_check_request q =
            g_array_index(c->pending, struct fw_limit_check_request, i);
        struct fw_account *a = &c->accounts[q.team];
        if (q.ticket != ans->ticket || q.site != site) {
            continue;
        }
        g_array_remove_index_fast(c->pending, i);
        if (ans->granted) {
            on_granted(c, w, &q);
        }
        else {
            Fw_Account_Settle(a, w->real_us);
            a->refused++;
            c->retry_us = ans->retry_after_us;
            a->wrongful += a->level >= (double)q.tokens;
        }
        return;
    }
    Fw_Run_Breach(w->run, "an answer that nobody asked for");
}

static void
take_answers(struct fw_fleet_env *w, void *arg)
{
    struct fw_limit_check *c = arg;
    struct fw_limit_answer ans;

    for (int i = 0; i < w->n; i++) {
        while (Fw_FleetEnv_Runs(w, i) &&
               Fw_Limit_TakeAnswer(w->sites[i].limit, &ans)) {
            on_answer(c, w, i, &ans);
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
Fw_LimitCheck_Init(struct fw_limit_check *c, struct fw_fleet_env *w,
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
    w->use_roles = 1;
    w->wait_us[FW_ROLE_BUDGET] = term_us;
    w->cfg = cfg;
    w->check = take_answers;
    w->arg = c;
}

void
Fw_LimitCheck_Clear(struct fw_limit_check *c, struct fw_fleet_env *w)
{
    struct fw_config *cfg = (struct fw_config *)w->cfg;

    Fw_FleetEnv_Clear(w);
    g_hash_table_unref(cfg->teams);
    g_free(cfg);
    g_array_unref(c->pending);
    g_array_unref(c->granted);
    g_array_unref(c->refunds);
}

void
Fw_LimitCheck_Ask(struct fw_limit_check *c, struct fw_fleet_env *w, int site,
                  int team, int64_t tokens)
{
    struct fw_limit_check_request q = {
        .ticket = ++c->ticket, .site = site, .team = team, .tokens = tokens};
    struct fw_actions out;

    if (!Fw_FleetEnv_Runs(w, site)) {
        return;
    }
    g_array_append_val(c->pending, q);
    Fw_Actions_Init(&out);
    Fw_Limit_Request(w->sites[site].limit, &c->accounts[team].team, q.ticket,
                     tokens, Fw_FleetEnv_Local(w, site), &out);
    Fw_FleetEnv_Carry(w, site, &out);
    take_answers(w, c);
}

void
Fw_LimitCheck_RefundNow(struct fw_limit_check *c, struct fw_fleet_env *w,
                        int site, int team, int64_t tokens)
{
    struct fw_account *a = &c->accounts[team];
    struct fw_limit_check_refund refund = {
        .team = team,
        .tokens = (double)tokens,
        .until_us = w->real_us + w->delay_max_us + FW_REFUND_US,
    };
    struct fw_actions out;

    g_array_append_val(c->refunds, refund);
    Fw_Run_Trace(w->run, "%8.3f %s refunds %" G_GINT64_FORMAT " of %s",
                 (double)w->real_us / FW_SEC, w->sites[site].self.name, tokens,
                 a->team.name);
    Fw_Actions_Init(&out);
    Fw_Limit_Refund(w->sites[site].limit, &a->team, tokens,
                    Fw_FleetEnv_Local(w, site), &out);
    Fw_FleetEnv_Carry(w, site, &out);
}

void
Fw_LimitCheck_RefundRandom(struct fw_limit_check *c, struct fw_fleet_env *w)
{
    struct fw_limit_check_grant note;
    guint i;

    if (c->granted->len == 0) {
        return;
    }
    i = (guint)Fw_FleetEnv_Below(w, (gint32)c->granted->len);
    note = g_array_index(c->granted, struct fw_limit_check_grant, i);
    g_array_remove_index_fast(c->granted, i);
    if (!Fw_FleetEnv_Runs(w, note.site) ||
        w->sites[note.site].self.boot != note.boot || note.tokens == 0) {
        return;
    }
    Fw_LimitCheck_RefundNow(c, w, note.site, note.team,
                            Fw_FleetEnv_Below(w, (gint32)note.tokens));
}
