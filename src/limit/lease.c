/*
 * Lease holder side. An instance renews its leases of a partition with the
 * leader if its own demand is high enough or if it is a follower.
 */
#include <string.h>

#include "base/fault.h"
#include "limit/limit_internal.h"

#define FW_RETRY_DELAY_MAX_US (3 * FW_SEC)

/* Sets the rates of the leases to request, from the demand of the last renewal
 * interval. A rate that is no longer needed is halved each interval. */
static void
measure_demand(struct fw_limit *l)
{
    GHashTableIter it;
    gpointer value;

    g_hash_table_iter_init(&it, l->shares);
    while (g_hash_table_iter_next(&it, NULL, &value)) {
        struct fw_team_share *share = value;
        int64_t rate = share->demand_tokens * FW_SEC / FW_RENEW_INTERVAL_US;
        share->wanted_rate /= 2;
        if (share->demand_requests >= FW_LEASE_REQUESTS_MIN &&
            share->rate > 0 &&
            (double)share->burst * (double)rate / (double)share->rate >=
                (double)FW_LEASE_BURST_REQUESTS_MIN *
                    (double)share->demand_tokens / share->demand_requests) {
            share->wanted_rate = MAX(share->wanted_rate, rate + rate / 2);
        }
        share->demand_tokens = 0;
        share->demand_requests = 0;
    }
}

const struct fw_member *
Fw_Limit_LeaderOrFollower(const struct fw_limit *l, int partition, int index)
{
    const char *leader = Fw_Roles_Holder(l->roles, FW_ROLE_BUDGET, partition);
    uint64_t key = Fw_Roles_Key(FW_ROLE_BUDGET, partition);

    if (index == 0) {
        const struct fw_member *m =
            leader ? Fw_Fleet_Find(l->fleet, leader) : NULL;
        return m && m->state != FW_MEMBER_DEAD ? m : NULL;
    }
    for (int rank = 0, seen = 0;; rank++) {
        const struct fw_member *m = Fw_Fleet_Pick(l->fleet, key, rank);
        if (!m) {
            return NULL;
        }
        seen += !leader || strcmp(m->name, leader) != 0;
        if (seen == index) {
            return m;
        }
    }
}

static int
is_follower(const struct fw_limit *l, int partition)
{
    for (int i = 1; i <= FW_FOLLOWERS_MAX; i++) {
        const struct fw_member *m = Fw_Limit_LeaderOrFollower(l, partition, i);
        if (m && Fw_Fleet_IsSelf(l->fleet, m)) {
            return 1;
        }
    }
    return 0;
}

static void
drop_expired_lease(struct fw_limit_partition *p, int64_t now_us)
{
    if (!p->lease_seq || now_us < p->lease_until_us ||
        FW_FAULT("limit-lease-forever")) {
        return;
    }
    p->lease_seq = 0;
    for (guint i = 0; i < p->shares->len; i++) {
        struct fw_team_share *share = g_ptr_array_index(p->shares, i);
        Fw_Bucket_Resize(&share->leased, 0, 0, now_us);
    }
}

/* Return: nonzero when there is a lease to request, renew or return. */
static int
fill_renew(const struct fw_limit *l, const struct fw_limit_partition *p,
           int follows, struct fw_limit_msg *msg)
{
    msg->entries = g_new0(struct fw_limit_entry, p->shares->len);
    for (guint i = 0;
         i < p->shares->len && msg->n_entries < FW_LIMIT_ENTRIES_MAX; i++) {
        const struct fw_team_share *share = g_ptr_array_index(p->shares, i);
        struct fw_limit_entry *e = &msg->entries[msg->n_entries];
        if ((share->wanted_rate > 0 || share->scaled_down ||
             share->excess > 0) &&
            !share->removed) {
            g_strlcpy(e->team, share->name, sizeof(e->team));
            /* In a renewal, level is a flag and burst is in micro-tokens. */
            e->rate = share->wanted_rate;
            e->level = share->scaled_down;
            e->burst = share->excess;
            msg->n_entries++;
        }
    }
    msg->acked_seq = p->lease_seq;
    msg->fence = p->lease_seq ? p->lease_ledger : 0;
    msg->boot = l->self.boot;
    msg->is_follower = follows;
    return msg->n_entries > 0 || follows || p->lease_seq;
}

static void
send_renew(struct fw_limit *l, int partition, int64_t now_us,
           struct fw_actions *out)
{
    struct fw_limit_partition *p = &l->partitions[partition];
    const char *leader = Fw_Roles_Holder(l->roles, FW_ROLE_BUDGET, partition);
    struct fw_limit_msg msg = {.kind = FW_LIMIT_LEASE_RENEW,
                               .partition = partition};

    drop_expired_lease(p, now_us);
    if (p->renew_pending && now_us >= p->renew_sent_us + FW_RENEW_TIMEOUT_US) {
        p->renew_pending = 0;
        p->next_renew_us =
            now_us + g_rand_int_range(l->rand, 0, FW_RETRY_DELAY_MAX_US);
    }
    if (p->renew_pending || now_us < p->next_renew_us || l->draining ||
        !leader || strcmp(leader, l->self.name) == 0) {
        return;
    }
    p->next_renew_us = now_us + FW_RENEW_INTERVAL_US -
                       g_rand_int_range(l->rand, 0, FW_RENEW_INTERVAL_US / 10);
    if (!fill_renew(l, p, is_follower(l, partition), &msg)) {
        p->next_renew_us = now_us + FW_SEC;
        Fw_Limit_ClearMsg(&msg);
        return;
    }
    p->renew_seq = ++l->seq;
    p->renew_sent_us = now_us;
    p->renew_pending = 1;
    p->reported_follower = msg.is_follower;
    g_strlcpy(p->renew_leader, leader, sizeof(p->renew_leader));
    msg.seq = p->renew_seq;
    Fw_Limit_Send(l, leader, &msg, out);
}

/* Returns unused tokens to the leader and the followers in rotation; a large
 * amount is spread over all, as each has capacity for its part only. */
static void
send_returns(struct fw_limit *l, struct fw_team_share *share,
             struct fw_actions *out)
{
    int is_large = share->unreturned > share->burst / FW_LARGE_GRANT_DIVISOR;
    int n_peers = FW_FOLLOWERS_MAX + 1;
    uint64_t first = l->seq;

    for (int i = 0; i < n_peers && share->unreturned > 0; i++) {
        int64_t part =
            is_large ? share->unreturned / (n_peers - i) : share->unreturned;
        const struct fw_member *m = Fw_Limit_LeaderOrFollower(
            l, share->partition,
            (int)((first + (uint64_t)i) % (uint64_t)n_peers));
        if (m && !Fw_Fleet_IsSelf(l->fleet, m)) {
            Fw_PeerGrant_SendReturn(l, m->name, share->name, part, 0, out);
            share->unreturned -= part;
        }
    }
}

static void
return_unused(struct fw_limit *l, int64_t now_us, struct fw_actions *out)
{
    GHashTableIter it;
    gpointer value;

    g_hash_table_iter_init(&it, l->shares);
    while (g_hash_table_iter_next(&it, NULL, &value)) {
        struct fw_team_share *share = value;
        if (share->unreturned == 0) {
            continue;
        }
        share->unreturned -=
            Fw_TeamShare_Put(l, share, share->unreturned, now_us);
        send_returns(l, share, out);
        share->unreturned = 0;
    }
}

/* Renews at once when this instance became or ceased to be a follower. */
static void
expedite_role_change(struct fw_limit *l, int64_t now_us)
{
    for (int i = 0; i < l->n_partitions; i++) {
        struct fw_limit_partition *p = &l->partitions[i];
        if (is_follower(l, i) != p->reported_follower) {
            p->next_renew_us = MIN(p->next_renew_us, now_us);
        }
    }
}

void
Fw_Lease_Tick(struct fw_limit *l, int64_t now_us, struct fw_actions *out)
{
    if (now_us >= l->next_demand_us) {
        l->next_demand_us = now_us + FW_RENEW_INTERVAL_US;
        measure_demand(l);
    }
    if (now_us >= l->next_return_us) {
        l->next_return_us = now_us + FW_RETURN_INTERVAL_US;
        return_unused(l, now_us, out);
        expedite_role_change(l, now_us);
    }
    Fw_Actions_Wake(out, l->next_return_us);
    for (int i = 0; i < l->n_partitions; i++) {
        send_renew(l, i, now_us, out);
    }
}

/* Nonzero when the lease of some team has less than an eighth of the team's
 * rate. */
static int
is_below_share(const struct fw_limit_partition *p)
{
    for (guint i = 0; i < p->shares->len; i++) {
        const struct fw_team_share *share = g_ptr_array_index(p->shares, i);
        if (!share->removed && share->leased.rate * 8 < share->rate) {
            return 1;
        }
    }
    return 0;
}

void
Fw_Lease_OnUpdate(struct fw_limit *l, const char *from,
                  const struct fw_config *cfg, const struct fw_limit_msg *msg,
                  int64_t now_us)
{
    struct fw_limit_partition *p = &l->partitions[msg->partition];
    int reduced = 0;

    if (!p->renew_pending || msg->seq != p->renew_seq ||
        strcmp(from, p->renew_leader) != 0) {
        return; /* duplicate, or answer to a renewal that timed out */
    }
    drop_expired_lease(p, now_us);
    p->renew_pending = 0;
    p->lease_seq = msg->seq;
    p->lease_ledger = msg->fence;
    /* Counted from when the renewal was sent: the answer may be delayed. */
    p->lease_until_us = p->renew_sent_us + l->lease_us;
    for (guint i = 0; i < p->shares->len; i++) {
        ((struct fw_team_share *)g_ptr_array_index(p->shares, i))->excess = 0;
    }
    for (int i = 0; i < msg->n_entries; i++) {
        const struct fw_limit_entry *e = &msg->entries[i];
        const struct fw_team *team = Fw_Config_FindTeam(cfg, e->team);
        struct fw_team_share *share =
            team ? Fw_TeamShare_Get(l, team, now_us) : NULL;
        if (!share || share->partition != msg->partition) {
            continue;
        }
        Fw_Bucket_Refill(&share->leased, now_us);
        share->excess = share->leased.level;
        Fw_Bucket_Resize(&share->leased, e->rate, e->burst, now_us);
        share->excess -= share->leased.level;
        reduced |= share->excess > 0;
        Fw_Bucket_Put(&share->leased, e->level, now_us);
        share->scaled_down = 0;
    }
    if (reduced) {
        p->next_renew_us = now_us; /* the renewal returns the excess */
    }
    else if (p->reported_follower && is_below_share(p)) {
        /* Others must reduce their leases first. */
        p->next_renew_us = now_us + FW_SEC;
    }
}

void
Fw_Lease_Release(struct fw_limit *l, int partition, int64_t now_us,
                 struct fw_actions *out)
{
    struct fw_limit_partition *p = &l->partitions[partition];
    struct fw_limit_msg msg = {.kind = FW_LIMIT_LEASE_RENEW,
                               .partition = partition};
    const char *leader = Fw_Roles_Holder(l->roles, FW_ROLE_BUDGET, partition);

    drop_expired_lease(p, now_us);
    if (!p->lease_seq || !leader) {
        return;
    }
    p->lease_seq = 0;
    p->renew_pending = 0;
    p->renew_seq = ++l->seq;
    msg.seq = p->renew_seq;
    msg.boot = l->self.boot;
    msg.entries = g_new0(struct fw_limit_entry, p->shares->len);
    /* Returns the remaining tokens, in micro-tokens, with the lease. */
    for (guint i = 0;
         i < p->shares->len && msg.n_entries < FW_LIMIT_ENTRIES_MAX; i++) {
        struct fw_team_share *share = g_ptr_array_index(p->shares, i);
        struct fw_limit_entry *e = &msg.entries[msg.n_entries];
        Fw_Bucket_Refill(&share->leased, now_us);
        if (share->leased.level > 0) {
            g_strlcpy(e->team, share->name, sizeof(e->team));
            e->burst = share->leased.level;
            msg.n_entries++;
        }
        Fw_Bucket_Resize(&share->leased, 0, 0, now_us);
    }
    Fw_Limit_Send(l, leader, &msg, out);
}
