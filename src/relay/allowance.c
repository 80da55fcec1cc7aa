/*
 * Teams' allowances, over all instances together and without a leader.
 *
 * Hubs send each other several times a second what they and their leaves
 * have spent for each team, and each takes from one bucket for the whole fleet
 * as it knows it: what others spent is taken off as it becomes known, below
 * zero if need be, so that what was granted twice in between is missing
 * afterwards. A leaf works on a copy of its hub's bucket. The bucket refills
 * with that part of the rate that belongs to the instances in touch: those
 * cut off from each other keep to their parts, and the sum stays within the
 * rate whatever is cut.
 */
#include <string.h>

#include "base/fault.h"
#include "base/hash.h"
#include "relay/relay_internal.h"

/* Part of the burst that an instance starts with: it can't know the past. */
#define FW_START_LEVEL 0.25
/* Within this after its start an instance takes over another's level. */
#define FW_ADOPT_US (3 * FW_SEC)
/* Below this part of the burst others should know soon what was spent. */
#define FW_TIGHT 0.5
/* And at once of so much of the burst: plain requests wait and go together. */
#define FW_AT_ONCE 0.02
/* Below this part of the burst leaves should know at once. */
#define FW_EMPTY 0.1
/* Tokens short of its burst at which a bucket still counts as full. */
#define FW_FULL_SLACK 1.0
/* Parts of the operator's overage and tolerance that the bucket is given. */
#define FW_OVERAGE_PERMILLE 500
#define FW_TOLERANCE_PERMILLE 200
/*
 * Part of the tolerance that small requests may overdraw, and what counts as
 * small: a part of that. Two prompts let through at once leave a debt of one;
 * until it is paid a team's plain requests would be refused, though all of
 * them together cost a small part of the rate.
 */
#define FW_CREDIT_PERMILLE 250
#define FW_SMALL_PART 16
/* Refused callers are told to wait between these. */
#define FW_RETRY_LEAST_US (100 * FW_MSEC)
#define FW_RETRY_MOST_US (4 * FW_SEC)

static double
cap_of(const struct fw_rl_allowance *p)
{
    return (double)p->burst * p->fleet_share;
}

/*
 * What is in the bucket belongs to all that know of it. When some are out of
 * touch each side keeps its part: with a copy of the whole on each side the
 * team could spend its burst several times.
 */
static void
settle(struct fw_relay *r, struct fw_rl_allowance *p, int64_t now_us)
{
    int heard;
    int count = Fw_Members_Count(r, now_us, &heard);
    double part =
        FW_FAULT("allowance-whole-rate") ? 1.0 : (double)heard / count;
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
    p->level = MIN(p->level, cap_of(p));
}

/*
 * Callers' requests take a moment to be told to all instances, and a bucket
 * of a few requests refuses wrongly for it. So part of what the operator
 * tolerates beyond the limits is given to the bucket; the rest stays for
 * what several instances let through at once.
 */
static void
resize(struct fw_relay *r, struct fw_rl_allowance *p,
       const struct fw_rl_team_rule *t, int64_t now_us)
{
    int64_t over = r->opts.overage_ppm * FW_OVERAGE_PERMILLE / 1000;
    int64_t rate = t->rate + t->rate * over / 1000000;
    int64_t burst =
        t->burst + r->opts.tolerance * FW_TOLERANCE_PERMILLE / 1000;

    if (p->rate == rate && p->burst == burst) {
        return;
    }
    if (p->burst) { /* one just made has nothing to settle */
        settle(r, p, now_us);
    }
    p->rate = rate;
    p->burst = MAX(burst, 1);
    p->level = MIN(p->level, cap_of(p));
}

static struct fw_rl_allowance *
find(const struct fw_relay *r, uint64_t hash)
{
    return g_hash_table_lookup(r->allowances, &hash);
}

static struct fw_rl_allowance *
allowance_of(struct fw_relay *r, const struct fw_rl_team_rule *t,
             int64_t now_us)
{
    struct fw_rl_allowance *p = find(r, Fw_Hash_Str(t->name));

    if (!p) {
        p = g_new0(struct fw_rl_allowance, 1);
        p->hash = Fw_Hash_Str(t->name);
        p->level = FW_START_LEVEL * (double)t->burst;
        p->at_us = now_us;
        p->created_us = now_us;
        p->fleet_share = 1.0;
        g_hash_table_insert(r->allowances, &p->hash, p);
    }
    resize(r, p, t, now_us);
    return p;
}

void
Fw_Allowance_ApplyRules(struct fw_relay *r, int64_t now_us,
                        struct fw_rl_acts *out)
{
    for (guint i = 0; i < r->rules->teams->len; i++) {
        const struct fw_rl_team_rule *t =
            g_ptr_array_index(r->rules->teams, i);

        if (t->rate > 0) {
            allowance_of(r, t, now_us);
        }
        Fw_Acts_Log(out, r, LOG_DEBUG, "team_limit",
                    "\"team\":\"%s\",\"rate\":%" G_GINT64_FORMAT
                    ",\"burst\":%" G_GINT64_FORMAT,
                    t->name, t->rate, t->burst);
    }
}

/*
 * The level that a request of @cost needs. One larger than the burst passes a
 * full bucket.
 */
static double
level_needed(const struct fw_relay *r, const struct fw_rl_allowance *p,
             int64_t cost)
{
    int64_t part = r->opts.tolerance * FW_CREDIT_PERMILLE / 1000;
    double credit = (double)part * p->fleet_share;

    if ((double)cost * FW_SMALL_PART <= credit) {
        return (double)cost - credit;
    }
    return MIN((double)cost, cap_of(p));
}

/* What others should know before the next digest or report. */
static void
note_tight(struct fw_relay *r, const struct fw_rl_allowance *p)
{
    int64_t known = r->x.is_hub ? p->sent : p->reported;
    int64_t unsent = p->spent + p->leaves - known;

    if (p->level >= FW_TIGHT * cap_of(p)) {
        return;
    }
    r->x.wants = 1;
    r->x.wants_delta |= (double)unsent > FW_AT_ONCE * cap_of(p);
    r->x.wants_push |= r->x.is_hub && p->level < FW_EMPTY * cap_of(p);
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
    p = allowance_of(r, t, now_us);
    settle(r, p, now_us);
    need = level_needed(r, p, cost);
    if (p->level < need) {
        *retry_us = (int64_t)((need - p->level) / (double)p->rate * FW_SEC);
        *retry_us = CLAMP(*retry_us, FW_RETRY_LEAST_US, FW_RETRY_MOST_US);
        return 0;
    }
    p->level -= (double)cost;
    p->spent += cost;
    note_tight(r, p);
    return 1;
}

void
Fw_Allowance_Return(struct fw_relay *r, const char *team, int64_t cost)
{
    struct fw_rl_allowance *p = find(r, Fw_Hash_Str(team));

    if (p) {
        p->level = MIN(p->level + (double)cost, cap_of(p));
        p->spent -= cost;
    }
}

void
Fw_Allowance_Others(struct fw_relay *r, uint64_t hash, int64_t tokens,
                    int64_t level, int64_t now_us)
{
    struct fw_rl_allowance *p = find(r, hash);

    if (!p) {
        return;
    }
    /* Before it is taken off: a full bucket doesn't refill meanwhile. */
    settle(r, p, now_us);
    r->x.wants_push |= tokens > 0 && p->level < FW_EMPTY * cap_of(p);
    if (!p->adopted && now_us - p->created_us < FW_ADOPT_US) {
        p->adopted = 1;
        p->level = (double)level;
        p->at_us = now_us;
    }
    else {
        p->level -= (double)tokens;
    }
    p->level = MIN(p->level, cap_of(p));
}

void
Fw_Allowance_Leaf(struct fw_relay *r, uint64_t hash, int64_t tokens,
                  int64_t now_us)
{
    struct fw_rl_allowance *p = find(r, hash);

    if (!p || !tokens) {
        return;
    }
    settle(r, p, now_us);
    p->level = MIN(p->level - (double)tokens, cap_of(p));
    p->leaves += tokens;
    note_tight(r, p);
}

static void
set_level(struct fw_relay *r, struct fw_rl_allowance *p, double level,
          int64_t now_us)
{
    settle(r, p, now_us);
    p->adopted = 1;
    p->level = MIN(level, cap_of(p));
    p->at_us = now_us;
}

void
Fw_Allowance_Hub(struct fw_relay *r, const struct fw_rl_level *level,
                 int64_t now_us)
{
    struct fw_rl_allowance *p = find(r, level->hash);
    double left;

    if (!p) {
        return;
    }
    left = (double)(level->level - (p->spent - level->counted));
    if (level->may_rise || left < p->level) {
        set_level(r, p, left, now_us);
    }
}

void
Fw_Allowance_Counted(struct fw_relay *r, int64_t now_us)
{
    GHashTableIter it;
    gpointer v;

    g_hash_table_iter_init(&it, r->allowances);
    while (g_hash_table_iter_next(&it, NULL, &v)) {
        struct fw_rl_allowance *p = v;

        p->counted = p->reported;
        settle(r, p, now_us);
        set_level(r, p, cap_of(p) - (double)(p->spent - p->reported), now_us);
    }
}

int
Fw_Allowance_IsFull(struct fw_relay *r, struct fw_rl_allowance *p,
                    int64_t now_us)
{
    settle(r, p, now_us);
    return p->level >= cap_of(p) - FW_FULL_SLACK;
}

void
Fw_Allowance_Explain(const struct fw_relay *r, const char *team,
                     int64_t *level, int *part_permille)
{
    const struct fw_rl_allowance *p = find(r, Fw_Hash_Str(team));

    *level = p ? (int64_t)p->level : 0;
    *part_permille = p ? (int)(p->fleet_share * 1000) : 0;
}
