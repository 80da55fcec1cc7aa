/*
 * Renewals of leases, handled by the leader. A renewal confirms which offers
 * its holder has applied; the reply offers new sizes of the holder's leases.
 */
#include <errno.h>
#include <string.h>

#include "limit/limit_internal.h"

/* Part of a team's rate leased out by demand; the rest stays unleased. */
#define FW_LEASED_FRACTION_MAX 0.75

static int
find_holder(struct fw_limit_partition *p, const char *name, uint64_t boot)
{
    for (guint i = 0; i < p->holders->len; i++) {
        struct fw_holder *h = &g_array_index(p->holders, struct fw_holder, i);
        if (h->boot == boot && strcmp(h->name, name) == 0) {
            return (int)i;
        }
    }
    return -1;
}

static int
add_holder(struct fw_limit_partition *p, const char *name, uint64_t boot)
{
    struct fw_holder h = {.boot = boot};

    g_strlcpy(h.name, name, sizeof(h.name));
    for (guint i = 0; i < p->holders->len; i++) {
        if (!g_array_index(p->holders, struct fw_holder, i).name[0]) {
            g_array_index(p->holders, struct fw_holder, i) = h;
            return (int)i;
        }
    }
    g_array_append_val(p->holders, h);
    return (int)p->holders->len - 1;
}

static struct fw_lease_grant *
find_grant(struct fw_team_share *share, int holder)
{
    for (guint i = 0; i < share->grants->len; i++) {
        struct fw_lease_grant *g =
            &g_array_index(share->grants, struct fw_lease_grant, i);
        if (g->holder == holder) {
            return g;
        }
    }
    return NULL;
}

/* Micro-tokens of @team that the renewal gives back. */
static int64_t
returned_level(const struct fw_limit_msg *msg, const char *team)
{
    for (int e = 0; e < msg->n_entries; e++) {
        if (strcmp(msg->entries[e].team, team) == 0) {
            return msg->entries[e].burst;
        }
    }
    return 0;
}

/* Settles the holder's open offers. They were applied if @renewal is set,
 * which also returns tokens that the holder no longer needs; if it is NULL,
 * they will never be applied and their tokens are put back. */
static void
settle_offers(struct fw_limit *l, struct fw_limit_partition *p, int holder,
              const struct fw_limit_msg *renewal, int64_t now_us)
{
    for (guint i = 0; i < p->shares->len; i++) {
        struct fw_team_share *share = g_ptr_array_index(p->shares, i);
        struct fw_lease_grant *g = find_grant(share, holder);
        int64_t back;
        if (!g) {
            continue;
        }
        back = renewal ? MIN(returned_level(renewal, share->name),
                             (g->burst - MIN(g->burst, g->offered_burst)) *
                                 FW_MICROTOKENS_PER_TOKEN)
                       : g->offered_level;
        if (renewal) {
            g->rate = g->offered_rate;
            g->burst = g->offered_burst;
        }
        g->offered_rate = g->rate;
        g->offered_burst = g->burst;
        g->offered_level = 0;
        Fw_Ledger_ResizeUnleased(l, share, now_us);
        Fw_Bucket_Put(&share->unleased, back, now_us);
    }
}

/* Removes the grants of a holder that has no lease any more, and puts the
 * tokens that it gives back into the unleased buckets. */
static void
release_grants(struct fw_limit *l, struct fw_limit_partition *p, int holder,
               const struct fw_limit_msg *msg, int64_t now_us)
{
    int64_t *back = g_new0(int64_t, p->shares->len + 1);

    for (guint i = 0; i < p->shares->len; i++) {
        struct fw_team_share *share = g_ptr_array_index(p->shares, i);
        const struct fw_lease_grant *g = find_grant(share, holder);
        back[i] = g ? MIN(returned_level(msg, share->name),
                          g->burst * FW_MICROTOKENS_PER_TOKEN)
                    : 0;
    }
    Fw_Ledger_ClearGrants(l, p, holder, now_us);
    for (guint i = 0; i < p->shares->len; i++) {
        struct fw_team_share *share = g_ptr_array_index(p->shares, i);
        if (share->ledger == p->ledger) {
            Fw_Bucket_Put(&share->unleased, back[i], now_us);
        }
    }
    g_free(back);
}

/* Settles the offers that the renewal acknowledges. Return: 0, or -ESTALE if
 * it is of another ledger or acknowledges an unknown offer: the holder's
 * leases must expire first. */
static int
settle_holder(struct fw_limit *l, struct fw_limit_partition *p, int holder,
              const struct fw_limit_msg *msg, int64_t now_us)
{
    struct fw_holder *h = &g_array_index(p->holders, struct fw_holder, holder);

    if (msg->acked_seq == 0) {
        release_grants(l, p, holder, msg, now_us);
        h->confirmed_seq = 0;
        h->offered_seq = 0;
        return 0;
    }
    if (msg->fence != p->ledger) {
        return -ESTALE;
    }
    if (msg->acked_seq == h->offered_seq) {
        settle_offers(l, p, holder, msg, now_us);
        h->confirmed_seq = h->offered_seq;
        return 0;
    }
    if (msg->acked_seq == h->confirmed_seq) {
        settle_offers(l, p, holder, NULL, now_us);
        return 0;
    }
    return -ESTALE;
}

static void
update_wanted_rates(struct fw_limit_partition *p, int holder,
                    const struct fw_limit_msg *msg)
{
    for (guint i = 0; i < p->shares->len; i++) {
        struct fw_team_share *share = g_ptr_array_index(p->shares, i);
        struct fw_lease_grant *g = find_grant(share, holder);
        int64_t want = 0;
        int resend = 0;
        for (int e = 0; e < msg->n_entries; e++) {
            if (strcmp(msg->entries[e].team, share->name) == 0) {
                want = msg->entries[e].rate;
                resend = msg->entries[e].level > 0;
            }
        }
        if (g) {
            g->wanted_rate = want;
            g->resend = resend;
        }
        else if (want > 0) {
            struct fw_lease_grant fresh = {.holder = holder,
                                           .wanted_rate = want};
            g_array_append_val(share->grants, fresh);
        }
    }
}

/* Rate for the holder: by its demand, and for followers (@followers nonzero)
 * at least an equal part of the team's rate. */
static int64_t
target_rate(const struct fw_team_share *share,
            const struct fw_lease_grant *mine, int followers)
{
    int64_t wanted = 0;
    int64_t rate = mine->wanted_rate;

    for (guint i = 0; i < share->grants->len; i++) {
        const struct fw_lease_grant *g =
            &g_array_index(share->grants, struct fw_lease_grant, i);
        wanted += g->wanted_rate;
    }
    if ((double)wanted > FW_LEASED_FRACTION_MAX * (double)share->rate) {
        rate = (int64_t)((double)mine->wanted_rate / (double)wanted *
                         FW_LEASED_FRACTION_MAX * (double)share->rate);
    }
    if (followers > 0) {
        rate = MAX(rate, share->rate / (followers + 1));
    }
    return MIN(rate, mine->rate + MAX(share->unleased.rate, 0));
}

/* Offers the lease's new size in @e, unless it differs by at most an eighth.
 * Return: nonzero when it was offered. */
static int
offer_lease(struct fw_limit *l, struct fw_team_share *share,
            struct fw_lease_grant *g, int followers, struct fw_limit_entry *e,
            int64_t now_us)
{
    int64_t rate = target_rate(share, g, followers);
    int64_t burst = share->rate > 0
                        ? (int64_t)((double)share->burst * (double)rate /
                                    (double)share->rate)
                        : 0;
    int64_t room = share->unleased.burst;
    int64_t level;

    burst = MIN(burst, g->burst + room);
    if (!g->resend && ABS(rate - g->rate) <= g->rate / 8 &&
        ABS(burst - g->burst) <= g->burst / 8 && (rate > 0 || g->rate == 0)) {
        return 0;
    }
    level = room > 0 && burst > g->burst
                ? (int64_t)((double)share->unleased.level *
                            (double)(burst - g->burst) / (double)room)
                : 0;
    g->resend = 0;
    g->offered_rate = rate;
    g->offered_burst = burst;
    g->offered_level = level;
    share->unleased.level -= level;
    Fw_Ledger_ResizeUnleased(l, share, now_us);
    g_strlcpy(e->team, share->name, sizeof(e->team));
    e->rate = rate;
    e->burst = burst;
    e->level = level;
    return 1;
}

static int
count_followers(const struct fw_limit_partition *p)
{
    int n = 0;

    for (guint i = 0; i < p->holders->len; i++) {
        n += g_array_index(p->holders, struct fw_holder, i).is_follower;
    }
    return MAX(n, 1);
}

static void
answer_renew(struct fw_limit *l, struct fw_limit_partition *p, int holder,
             const struct fw_limit_msg *msg, int64_t now_us,
             struct fw_limit_msg *answer)
{
    int followers = msg->is_follower ? count_followers(p) : 0;

    answer->entries = g_new0(struct fw_limit_entry, p->shares->len);
    for (guint i = 0;
         i < p->shares->len && answer->n_entries < FW_LIMIT_ENTRIES_MAX; i++) {
        struct fw_team_share *share = g_ptr_array_index(p->shares, i);
        struct fw_lease_grant *g = find_grant(share, holder);
        if (share->ledger != p->ledger) {
            continue;
        }
        if (!g && msg->is_follower) {
            struct fw_lease_grant fresh = {.holder = holder};
            g_array_append_val(share->grants, fresh);
            g = find_grant(share, holder);
        }
        Fw_Bucket_Refill(&share->unleased, now_us);
        if (g && offer_lease(l, share, g, followers,
                             &answer->entries[answer->n_entries], now_us)) {
            answer->n_entries++;
        }
    }
}

void
Fw_Ledger_OnRenew(struct fw_limit *l, const char *from,
                  const struct fw_limit_msg *msg, int64_t now_us,
                  struct fw_actions *out)
{
    struct fw_limit_partition *p = &l->partitions[msg->partition];
    struct fw_limit_msg answer = {.kind = FW_LIMIT_LEASE_UPDATE};
    struct fw_holder *h;
    int holder;

    Fw_Ledger_Refresh(l, msg->partition, now_us);
    if (!p->ledger || p->successor[0]) {
        return;
    }
    holder = find_holder(p, from, msg->boot);
    if (holder < 0) {
        if (!Fw_Ledger_MayGrant(l, msg->partition, now_us) || msg->acked_seq) {
            return;
        }
        holder = add_holder(p, from, msg->boot);
    }
    h = &g_array_index(p->holders, struct fw_holder, holder);
    if (msg->seq <= h->last_seq) {
        return; /* duplicate or reordered */
    }
    h->last_seq = msg->seq;
    if (settle_holder(l, p, holder, msg, now_us) ||
        !Fw_Ledger_MayGrant(l, msg->partition, now_us)) {
        return;
    }
    h->is_follower = msg->is_follower;
    update_wanted_rates(p, holder, msg);
    answer_renew(l, p, holder, msg, now_us, &answer);
    h->offered_seq = msg->seq;
    h->expires_us = MAX(h->expires_us, now_us + Fw_Ledger_MaxLeaseUs(l));
    answer.seq = msg->seq;
    answer.partition = msg->partition;
    answer.fence = p->ledger;
    Fw_Limit_Send(l, from, &answer, out);
}
