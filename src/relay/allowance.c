/*
 * Teams' allowances: token buckets shared by all instances without a leader.
 *
 * Each hub has a copy of every team's bucket. Several times a second hubs send
 * each other the tokens that they and their leaves have spent. These are
 * subtracted on receipt, if necessary below zero, so that tokens granted twice
 * in between are made up for later. A leaf uses a copy of its hub's bucket.
 *
 * A bucket is refilled at the rate's share of the live instances. In a
 * network partition the sum over all sides therefore stays within the rate.
 */
#include <string.h>

#include "base/fault.h"
#include "base/hash.h"
#include "relay/relay_internal.h"

/* Initial level as a fraction of the burst; earlier spending is unknown. */
#define FW_INITIAL_LEVEL_FRACTION 0.25
/* Time after creation during which the level of a peer is adopted. */
#define FW_ADOPTION_PERIOD_US (3 * FW_SEC)
/* Below this fraction of the capacity, spending is sent soon. */
#define FW_SEND_SOON_LEVEL_FRACTION 0.5
/*
 * Then, unsent spending above this fraction of it is sent at once; smaller
 * amounts, of plain requests, wait and are sent together.
 */
#define FW_SEND_AT_ONCE_SPENT_FRACTION 0.02
/* Below this fraction of the capacity, leaves get the level at once. */
#define FW_PUSH_TO_LEAVES_LEVEL_FRACTION 0.1
/* Tokens below its capacity at which a bucket still counts as full. */
#define FW_FULL_SLACK_TOKENS 1.0
/* Parts of the tolerated overage and burst that are added to the bucket. */
#define FW_OVERAGE_PERMILLE 500
#define FW_TOLERANCE_PERMILLE 200
/*
 * Part of the tolerance by which small requests may overdraw a bucket, and the
 * divisor of that for the cost of a small request. Without it, the debt after
 * two prompts admitted at once would block a team's plain requests, which
 * cost only a small part of the rate.
 */
#define FW_OVERDRAFT_PERMILLE 250
#define FW_SMALL_COST_DIVISOR 16
/* Bounds of Retry-After. */
#define FW_RETRY_MIN_US (100 * FW_MSEC)
#define FW_RETRY_MAX_US (4 * FW_SEC)

/* Part of the burst that the live instances may use, tokens. */
static double
capacity(const struct fw_rl_allowance *p)
{
    return (double)p->burst * p->fleet_share;
}

/*
 * Refills the bucket up to @now_us. When fewer instances are live, the level
 * is reduced to their share, or a team could spend its burst once on each side
 * of a partition.
 */
static void
refill(struct fw_relay *r, struct fw_rl_allowance *p, int64_t now_us)
{
    int n_live;
    int instances = Fw_Members_Count(r, now_us, &n_live);
    double part =
        FW_FAULT("allowance-whole-rate") ? 1.0 : (double)n_live / instances;
    double more =
        (double)p->rate * part * (double)(now_us - p->at_us) / FW_SEC;

    if (p->level > 0 && part < p->fleet_share) {
        p->level *= part / p->fleet_share;
    }
    p->fleet_share = part;
    if (now_us > p->at_us) {
        p->level += more;
        p->at_us = now_us;
    }
    p->level = MIN(p->level, capacity(p));
}

/*
 * Sets rate and capacity, enlarged by part of the tolerated excess: levels are
 * inexact by the spending that is still in transit, which would make a small
 * bucket reject requests within the limits. The rest of the tolerance covers
 * tokens granted by several instances at once.
 */
static void
set_limits(struct fw_relay *r, struct fw_rl_allowance *p,
           const struct fw_rl_team_rule *t, int64_t now_us)
{
    int64_t over = r->opts.overage_ppm * FW_OVERAGE_PERMILLE / 1000;
    int64_t rate = t->rate + t->rate * over / 1000000;
    int64_t burst =
        t->burst + r->opts.tolerance_tokens * FW_TOLERANCE_PERMILLE / 1000;

    if (p->rate == rate && p->burst == burst) {
        return;
    }
    if (p->burst) { /* not for a new bucket */
        refill(r, p, now_us);
    }
    p->rate = rate;
    p->burst = MAX(burst, 1);
    p->level = MIN(p->level, capacity(p));
}

static struct fw_rl_allowance *
find_bucket(const struct fw_relay *r, uint64_t hash)
{
    return g_hash_table_lookup(r->allowances, &hash);
}

static struct fw_rl_allowance *
find_or_add_bucket(struct fw_relay *r, const struct fw_rl_team_rule *t,
                   int64_t now_us)
{
    struct fw_rl_allowance *p = find_bucket(r, Fw_Hash_Str(t->name));

    if (!p) {
        p = g_new0(struct fw_rl_allowance, 1);
        p->hash = Fw_Hash_Str(t->name);
        p->level = FW_INITIAL_LEVEL_FRACTION * (double)t->burst;
        p->at_us = now_us;
        p->created_us = now_us;
        p->fleet_share = 1.0;
        g_hash_table_insert(r->allowances, &p->hash, p);
    }
    set_limits(r, p, t, now_us);
    return p;
}

void
Fw_Allowance_ApplyRules(struct fw_relay *r, int64_t now_us,
                        struct fw_rl_actions *out)
{
    for (guint i = 0; i < r->rules->teams->len; i++) {
        const struct fw_rl_team_rule *t =
            g_ptr_array_index(r->rules->teams, i);

        if (t->rate > 0) {
            find_or_add_bucket(r, t, now_us);
        }
        Fw_RelayActions_Log(out, r, LOG_DEBUG, "team_limit",
                            "\"team\":\"%s\",\"rate\":%" G_GINT64_FORMAT
                            ",\"burst\":%" G_GINT64_FORMAT,
                            t->name, t->rate, t->burst);
    }
}

/*
 * Level at which a request of @cost is admitted. A request larger than the
 * capacity is admitted by a full bucket.
 */
static double
required_level(const struct fw_relay *r, const struct fw_rl_allowance *p,
               int64_t cost)
{
    int64_t part = r->opts.tolerance_tokens * FW_OVERDRAFT_PERMILLE / 1000;
    double overdraft = (double)part * p->fleet_share;

    if ((double)cost * FW_SMALL_COST_DIVISOR <= overdraft) {
        return (double)cost - overdraft;
    }
    return MIN((double)cost, capacity(p));
}

/* Schedules a message before the next digest or report if one is needed. */
static void
schedule_messages(struct fw_relay *r, const struct fw_rl_allowance *p)
{
    int64_t known = r->exchange.is_hub ? p->digest_spent : p->report_spent;
    int64_t unsent = p->spent + p->leaf_spent - known;

    if (p->level >= FW_SEND_SOON_LEVEL_FRACTION * capacity(p)) {
        return;
    }
    r->exchange.send_soon = 1;
    r->exchange.delta_pending |=
        (double)unsent > FW_SEND_AT_ONCE_SPENT_FRACTION * capacity(p);
    r->exchange.push_pending |=
        r->exchange.is_hub &&
        p->level < FW_PUSH_TO_LEAVES_LEVEL_FRACTION * capacity(p);
}

int
Fw_Allowance_Take(struct fw_relay *r, const struct fw_rl_team_rule *t,
                  int64_t cost, int64_t now_us, int64_t *retry_us)
{
    struct fw_rl_allowance *p;
    double need;

    if (t->rate <= 0) {
        return 1;
    }
    p = find_or_add_bucket(r, t, now_us);
    refill(r, p, now_us);
    need = required_level(r, p, cost);
    if (p->level < need) {
        *retry_us = (int64_t)((need - p->level) / (double)p->rate * FW_SEC);
        *retry_us = CLAMP(*retry_us, FW_RETRY_MIN_US, FW_RETRY_MAX_US);
        return 0;
    }
    p->level -= (double)cost;
    p->spent += cost;
    schedule_messages(r, p);
    return 1;
}

void
Fw_Allowance_Refund(struct fw_relay *r, const char *team, int64_t cost)
{
    struct fw_rl_allowance *p = find_bucket(r, Fw_Hash_Str(team));

    if (p) {
        p->level = MIN(p->level + (double)cost, capacity(p));
        p->spent -= cost;
    }
}

void
Fw_Allowance_NoteHubSpending(struct fw_relay *r, uint64_t hash, int64_t tokens,
                             int64_t level, int64_t now_us)
{
    struct fw_rl_allowance *p = find_bucket(r, hash);

    if (!p) {
        return;
    }
    /* Refill before subtracting: a full bucket earns nothing meanwhile. */
    refill(r, p, now_us);
    r->exchange.push_pending |=
        tokens > 0 &&
        p->level < FW_PUSH_TO_LEAVES_LEVEL_FRACTION * capacity(p);
    if (!p->adopted && now_us - p->created_us < FW_ADOPTION_PERIOD_US) {
        p->adopted = 1;
        p->level = (double)level;
        p->at_us = now_us;
    }
    else {
        p->level -= (double)tokens;
    }
    p->level = MIN(p->level, capacity(p));
}

void
Fw_Allowance_NoteLeafSpending(struct fw_relay *r, uint64_t hash,
                              int64_t tokens, int64_t now_us)
{
    struct fw_rl_allowance *p = find_bucket(r, hash);

    if (!p || !tokens) {
        return;
    }
    refill(r, p, now_us);
    p->level = MIN(p->level - (double)tokens, capacity(p));
    p->leaf_spent += tokens;
    schedule_messages(r, p);
}

static void
set_level(struct fw_relay *r, struct fw_rl_allowance *p, double level,
          int64_t now_us)
{
    refill(r, p, now_us);
    p->adopted = 1;
    p->level = MIN(level, capacity(p));
    p->at_us = now_us;
}

void
Fw_Allowance_ApplyHubLevel(struct fw_relay *r,
                           const struct fw_rl_hub_level *level, int64_t now_us)
{
    struct fw_rl_allowance *p = find_bucket(r, level->hash);
    double left;

    if (!p) {
        return;
    }
    left = (double)(level->level - (p->spent - level->acknowledged));
    if (level->is_current || left < p->level) {
        set_level(r, p, left, now_us);
    }
}

void
Fw_Allowance_AcknowledgeReport(struct fw_relay *r, int64_t now_us)
{
    GHashTableIter it;
    gpointer v;

    g_hash_table_iter_init(&it, r->allowances);
    while (g_hash_table_iter_next(&it, NULL, &v)) {
        struct fw_rl_allowance *p = v;

        p->acknowledged = p->report_spent;
        refill(r, p, now_us);
        set_level(r, p, capacity(p) - (double)(p->spent - p->report_spent),
                  now_us);
    }
}

int
Fw_Allowance_IsFull(struct fw_relay *r, struct fw_rl_allowance *p,
                    int64_t now_us)
{
    refill(r, p, now_us);
    return p->level >= capacity(p) - FW_FULL_SLACK_TOKENS;
}

void
Fw_Allowance_Describe(const struct fw_relay *r, const char *team,
                      int64_t *level, int *part_permille)
{
    const struct fw_rl_allowance *p = find_bucket(r, Fw_Hash_Str(team));

    *level = p ? (int64_t)p->level : 0;
    *part_permille = p ? (int)(p->fleet_share * 1000) : 0;
}
