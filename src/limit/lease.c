/*
 * The holder's side: asks the leader of a partition for leases where this
 * instance has enough to do, or would be the one to follow the leader.
 */
#include <string.h>

#include "base/fault.h"
#include "limit/share.h"

#define RETRY_US (3 * FW_SEC)

/* The rate that a lease should have, from what was asked of late. */
static void
measure_demand(struct fw_limit *l)
{
    GHashTableIter it;
    gpointer value;

    g_hash_table_iter_init(&it, l->shares);
    while (g_hash_table_iter_next(&it, NULL, &value)) {
        struct fw_team_share *s = value;
        int64_t rate = s->asked * FW_SEC / FW_RENEW_INTERVAL_US;
        s->want /= 2;
        if (s->asks >= FW_LEASE_REQUESTS_MIN && s->rate > 0 &&
            (double)s->burst * (double)rate / (double)s->rate >=
                (double)FW_LEASE_BURST_REQUESTS_MIN * (double)s->asked /
                    s->asks) {
            s->want = MAX(s->want, rate + rate / 2);
        }
        s->asked = 0;
        s->asks = 0;
    }
}

const struct fw_member *
Fw_Limit_Replica(const struct fw_limit *l, int partition, int place)
{
    const char *leader = Fw_Roles_Holder(l->roles, FW_ROLE_BUDGET, partition);
    uint64_t key = Fw_Roles_Key(FW_ROLE_BUDGET, partition);

    if (place == 0) {
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
        if (seen == place) {
            return m;
        }
    }
}

static int
is_follower(const struct fw_limit *l, int partition)
{
    for (int place = 1; place <= FW_FOLLOWERS_MAX; place++) {
        const struct fw_member *m = Fw_Limit_Replica(l, partition, place);
        if (m && Fw_Fleet_IsSelf(l->fleet, m)) {
            return 1;
        }
    }
    return 0;
}

static void
drop_lapsed(struct fw_limit_partition *p, int64_t now_us)
{
    if (!p->have || now_us < p->until_us || FW_FAULT("limit-lease-forever")) {
        return;
    }
    p->have = 0;
    for (guint i = 0; i < p->shares->len; i++) {
        struct fw_team_share *s = g_ptr_array_index(p->shares, i);
        Fw_Bucket_Resize(&s->leased, 0, 0, now_us);
    }
}

/* Fills the question. Return: nonzero when there is anything to ask. */
static int
fill_renew(const struct fw_limit *l, const struct fw_limit_partition *p,
           int follows, struct fw_limit_msg *msg)
{
    msg->entries = g_new0(struct fw_limit_entry, p->shares->len);
    for (guint i = 0; i < p->shares->len && msg->n < FW_LIMIT_ENTRIES_MAX;
         i++) {
        const struct fw_team_share *s = g_ptr_array_index(p->shares, i);
        struct fw_limit_entry *e = &msg->entries[msg->n];
        if ((s->want > 0 || s->scaled || s->cut > 0) && !s->gone) {
            g_strlcpy(e->team, s->name, sizeof(e->team));
            e->rate = s->want;
            e->level = s->scaled;
            e->burst = s->cut;
            msg->n++;
        }
    }
    msg->have = p->have;
    msg->fence = p->have ? p->fence : 0;
    msg->boot = l->self.boot;
    msg->flag = follows;
    return msg->n > 0 || follows || p->have;
}

static void
renew(struct fw_limit *l, int partition, int64_t now_us,
      struct fw_actions *out)
{
    struct fw_limit_partition *p = &l->parts[partition];
    const char *leader = Fw_Roles_Holder(l->roles, FW_ROLE_BUDGET, partition);
    struct fw_limit_msg msg = {.kind = FW_LIMIT_LEASE_RENEW,
                               .partition = partition};

    drop_lapsed(p, now_us);
    if (p->waiting && now_us >= p->sent_us + FW_RENEW_TIMEOUT_US) {
        p->waiting = 0;
        p->next_us = now_us + g_rand_int_range(l->rand, 0, RETRY_US);
    }
    if (p->waiting || now_us < p->next_us || l->draining || !leader ||
        strcmp(leader, l->self.name) == 0) {
        return;
    }
    p->next_us = now_us + FW_RENEW_INTERVAL_US -
                 g_rand_int_range(l->rand, 0, FW_RENEW_INTERVAL_US / 10);
    if (!fill_renew(l, p, is_follower(l, partition), &msg)) {
        p->next_us = now_us + FW_SEC;
        Fw_Limit_ClearMsg(&msg);
        return;
    }
    p->seq = ++l->seq;
    p->sent_us = now_us;
    p->waiting = 1;
    p->follows = msg.flag;
    g_strlcpy(p->asked, leader, sizeof(p->asked));
    msg.seq = p->seq;
    Fw_Limit_Send(l, leader, &msg, out);
}

/* Unused tokens that found no room here go to the places, by turns; many at
 * once to all of them, as each has room for its part only. */
static void
return_owed(struct fw_limit *l, struct fw_team_share *s,
            struct fw_actions *out)
{
    int many = s->owed > s->burst / FW_LARGE_GRANT_DIVISOR;
    int places = FW_FOLLOWERS_MAX + 1;
    uint64_t first = l->seq;

    for (int i = 0; i < places && s->owed > 0; i++) {
        int64_t part = many ? s->owed / (places - i) : s->owed;
        const struct fw_member *m = Fw_Limit_Replica(
            l, s->partition, (int)((first + (uint64_t)i) % (uint64_t)places));
        if (m && !Fw_Fleet_IsSelf(l->fleet, m)) {
            Fw_PeerGrant_SendReturn(l, m->name, s->name, part, 0, out);
            s->owed -= part;
        }
    }
}

static void
flush_owed(struct fw_limit *l, int64_t now_us, struct fw_actions *out)
{
    GHashTableIter it;
    gpointer value;

    g_hash_table_iter_init(&it, l->shares);
    while (g_hash_table_iter_next(&it, NULL, &value)) {
        struct fw_team_share *s = value;
        if (s->owed == 0) {
            continue;
        }
        s->owed -= Fw_TeamShare_Put(l, s, s->owed, now_us);
        return_owed(l, s, out);
        s->owed = 0;
    }
}

/* One that became a follower, or ceased to be, says so at once. */
static void
note_places(struct fw_limit *l, int64_t now_us)
{
    for (int i = 0; i < l->n_parts; i++) {
        struct fw_limit_partition *p = &l->parts[i];
        if (is_follower(l, i) != p->follows) {
            p->next_us = MIN(p->next_us, now_us);
        }
    }
}

void
Fw_Lease_Tick(struct fw_limit *l, int64_t now_us, struct fw_actions *out)
{
    if (now_us >= l->renew_us) {
        l->renew_us = now_us + FW_RENEW_INTERVAL_US;
        measure_demand(l);
    }
    if (now_us >= l->flush_us) {
        l->flush_us = now_us + FW_RETURN_INTERVAL_US;
        flush_owed(l, now_us, out);
        note_places(l, now_us);
    }
    Fw_Actions_Wake(out, l->flush_us);
    for (int i = 0; i < l->n_parts; i++) {
        renew(l, i, now_us, out);
    }
}

/* Nonzero when a follower has much less than its part of some team. */
static int
is_short(const struct fw_limit_partition *p)
{
    for (guint i = 0; i < p->shares->len; i++) {
        const struct fw_team_share *s = g_ptr_array_index(p->shares, i);
        if (!s->gone && s->leased.rate * 8 < s->rate) {
            return 1;
        }
    }
    return 0;
}

void
Fw_Lease_OnLease(struct fw_limit *l, const char *from,
                 const struct fw_config *cfg, const struct fw_limit_msg *msg,
                 int64_t now_us)
{
    struct fw_limit_partition *p = &l->parts[msg->partition];
    int smaller = 0;

    if (!p->waiting || msg->seq != p->seq || strcmp(from, p->asked) != 0) {
        return; /* a double, or the answer to a question given up */
    }
    drop_lapsed(p, now_us);
    p->waiting = 0;
    p->have = msg->seq;
    p->fence = msg->fence;
    /* From when it was asked: the answer may have been held up. */
    p->until_us = p->sent_us + l->term_us;
    for (guint i = 0; i < p->shares->len; i++) {
        ((struct fw_team_share *)g_ptr_array_index(p->shares, i))->cut = 0;
    }
    for (int i = 0; i < msg->n; i++) {
        const struct fw_limit_entry *e = &msg->entries[i];
        const struct fw_team *team = Fw_Config_Team(cfg, e->team);
        struct fw_team_share *s =
            team ? Fw_TeamShare_Get(l, team, now_us) : NULL;
        if (!s || s->partition != msg->partition) {
            continue;
        }
        Fw_Bucket_Refill(&s->leased, now_us);
        s->cut = s->leased.level;
        Fw_Bucket_Resize(&s->leased, e->rate, e->burst, now_us);
        s->cut -= s->leased.level;
        smaller |= s->cut > 0;
        Fw_Bucket_Put(&s->leased, e->level, now_us);
        s->scaled = 0;
    }
    if (smaller) {
        p->next_us = now_us; /* the leader can use it once that is known */
    }
    else if (p->follows && is_short(p)) {
        p->next_us = now_us + FW_SEC; /* others have yet to give it up */
    }
}

void
Fw_Lease_Release(struct fw_limit *l, int partition, int64_t now_us,
                 struct fw_actions *out)
{
    struct fw_limit_partition *p = &l->parts[partition];
    struct fw_limit_msg msg = {.kind = FW_LIMIT_LEASE_RENEW,
                               .partition = partition};
    const char *leader = Fw_Roles_Holder(l->roles, FW_ROLE_BUDGET, partition);

    drop_lapsed(p, now_us);
    if (!p->have || !leader) {
        return;
    }
    p->have = 0;
    p->waiting = 0;
    p->seq = ++l->seq;
    msg.seq = p->seq;
    msg.boot = l->self.boot;
    msg.entries = g_new0(struct fw_limit_entry, p->shares->len);
    /* With the levels: the leader keeps their place until it has this. */
    for (guint i = 0; i < p->shares->len && msg.n < FW_LIMIT_ENTRIES_MAX;
         i++) {
        struct fw_team_share *s = g_ptr_array_index(p->shares, i);
        struct fw_limit_entry *e = &msg.entries[msg.n];
        Fw_Bucket_Refill(&s->leased, now_us);
        if (s->leased.level > 0) {
            g_strlcpy(e->team, s->name, sizeof(e->team));
            e->burst = s->leased.level;
            msg.n++;
        }
        Fw_Bucket_Resize(&s->leased, 0, 0, now_us);
    }
    Fw_Limit_Send(l, leader, &msg, out);
}
