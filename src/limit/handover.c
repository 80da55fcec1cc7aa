/*
 * Handover of the ledger from a draining leader to its successor. The leader
 * offers it, the successor requests it, and the leader answers. The remaining
 * time in the answer counts from the request, so that a delayed answer doesn't
 * prolong the use of the unleased tokens.
 */
#include <string.h>

#include "limit/limit_internal.h"

#define FW_OFFER_INTERVAL_US (150 * FW_MSEC)

static void
send_offer(struct fw_limit *l, int partition, struct fw_actions *out)
{
    const struct fw_member *m =
        Fw_Fleet_Pick(l->fleet, Fw_Roles_Key(FW_ROLE_BUDGET, partition), 0);
    struct fw_limit_msg msg = {.kind = FW_LIMIT_HANDOVER_OFFER,
                               .partition = partition};

    if (m) {
        Fw_Limit_Send(l, m->name, &msg, out);
    }
}

void
Fw_Handover_Tick(struct fw_limit *l, int64_t now_us, struct fw_actions *out)
{
    for (int i = 0; i < l->n_partitions; i++) {
        struct fw_limit_partition *p = &l->partitions[i];
        if (!p->leaving || p->successor[0]) {
            continue;
        }
        if (now_us >= p->next_offer_us) {
            p->next_offer_us = now_us + FW_OFFER_INTERVAL_US;
            send_offer(l, i, out);
        }
        Fw_Actions_Wake(out, p->next_offer_us);
    }
}

void
Fw_Handover_OnOffer(struct fw_limit *l, const char *from,
                    const struct fw_limit_msg *msg, int64_t now_us,
                    struct fw_actions *out)
{
    struct fw_limit_partition *p = &l->partitions[msg->partition];
    struct fw_limit_msg request = {.kind = FW_LIMIT_HANDOVER_REQUEST,
                                   .partition = msg->partition,
                                   .seq = ++l->seq};

    Fw_Ledger_Refresh(l, msg->partition, now_us);
    if (p->ledger || l->draining) {
        return;
    }
    p->handover_seq = request.seq;
    p->handover_sent_us = now_us;
    g_strlcpy(p->predecessor, from, sizeof(p->predecessor));
    Fw_Limit_Send(l, from, &request, out);
}

static void
fill_entry(const struct fw_team_share *share, struct fw_limit_entry *e)
{
    g_strlcpy(e->team, share->name, sizeof(e->team));
    e->rate = share->unleased.rate;
    e->burst = share->unleased.burst;
    e->level = share->unleased.level;
    e->n_grants = (int)share->grants->len;
    e->grants = g_new0(struct fw_limit_grant, share->grants->len);
    for (guint i = 0; i < share->grants->len; i++) {
        const struct fw_lease_grant *g =
            &g_array_index(share->grants, struct fw_lease_grant, i);
        e->grants[i] = (struct fw_limit_grant){
            .holder = g->holder,
            .rate = g->rate,
            .burst = g->burst,
            .offered_rate = g->offered_rate,
            .offered_burst = g->offered_burst,
            .offered_level = g->offered_level,
        };
    }
}

static void
fill_holders(const struct fw_limit_partition *p, struct fw_limit_msg *msg,
             int64_t now_us)
{
    msg->holders = g_new0(struct fw_limit_holder, p->holders->len);
    msg->n_holders = (int)p->holders->len;
    for (guint i = 0; i < p->holders->len; i++) {
        const struct fw_holder *h =
            &g_array_index(p->holders, struct fw_holder, i);
        struct fw_limit_holder *m = &msg->holders[i];
        g_strlcpy(m->name, h->name, sizeof(m->name));
        m->boot = h->boot;
        m->last_seq = h->last_seq;
        m->confirmed_seq = h->confirmed_seq;
        m->offered_seq = h->offered_seq;
        m->expires_in_us = MAX(h->expires_us - now_us, 0);
    }
}

void
Fw_Handover_OnRequest(struct fw_limit *l, const char *from,
                      const struct fw_limit_msg *msg, int64_t now_us,
                      struct fw_actions *out)
{
    struct fw_limit_partition *p = &l->partitions[msg->partition];
    struct fw_limit_msg answer = {.kind = FW_LIMIT_HANDOVER, .seq = msg->seq};

    if (!p->leaving || !p->ledger ||
        (p->successor[0] && strcmp(p->successor, from) != 0) ||
        p->holders->len > FW_LIMIT_HOLDERS_MAX ||
        p->shares->len > FW_LIMIT_ENTRIES_MAX) {
        return;
    }
    if (!p->successor[0]) {
        /* From now on this instance neither spends unleased tokens nor grants
         * leases. */
        g_strlcpy(p->successor, from, sizeof(p->successor));
        p->handed_until_us = p->unleased_until_us;
        p->unleased_until_us = 0;
    }
    answer.partition = msg->partition;
    answer.fence = p->ledger;
    answer.acked_seq = p->tenure;
    answer.expires_in_us = MAX(p->handed_until_us - now_us, 0);
    answer.entries = g_new0(struct fw_limit_entry, p->shares->len);
    for (guint i = 0; i < p->shares->len; i++) {
        struct fw_team_share *share = g_ptr_array_index(p->shares, i);
        if (share->ledger == p->ledger) {
            Fw_Bucket_Refill(&share->unleased, now_us);
            fill_entry(share, &answer.entries[answer.n_entries++]);
        }
    }
    fill_holders(p, &answer, now_us);
    Fw_Limit_Send(l, from, &answer, out);
}

static void
load_holders(struct fw_limit_partition *p, const struct fw_limit_msg *msg,
             int64_t now_us)
{
    g_array_set_size(p->holders, 0);
    for (int i = 0; i < msg->n_holders; i++) {
        const struct fw_limit_holder *m = &msg->holders[i];
        struct fw_holder h = {
            .boot = m->boot,
            .last_seq = m->last_seq,
            .confirmed_seq = m->confirmed_seq,
            .offered_seq = m->offered_seq,
            .expires_us = now_us + m->expires_in_us +
                          m->expires_in_us / 1000000 * FW_ROLE_DRIFT_PPM +
                          FW_ROLE_DRIFT_PPM,
        };
        g_strlcpy(h.name, m->name, sizeof(h.name));
        g_array_append_val(p->holders, h);
    }
}

static void
load_entry(struct fw_limit *l, struct fw_team_share *share, uint64_t ledger,
           const struct fw_limit_entry *e, int64_t now_us)
{
    g_array_set_size(share->grants, 0);
    for (int i = 0; i < e->n_grants; i++) {
        struct fw_lease_grant g = {
            .holder = e->grants[i].holder,
            .rate = e->grants[i].rate,
            .burst = e->grants[i].burst,
            .offered_rate = e->grants[i].offered_rate,
            .offered_burst = e->grants[i].offered_burst,
            .offered_level = e->grants[i].offered_level,
        };
        g_array_append_val(share->grants, g);
    }
    share->ledger = ledger;
    share->fitted_version = share->version;
    Fw_Bucket_Refill(&share->unleased, now_us);
    share->unleased.level = 0;
    Fw_Ledger_ResizeUnleased(l, share, now_us);
    Fw_Bucket_Put(&share->unleased, e->level, now_us);
}

/* Moves this instance's own leases of the ledger to the unleased buckets. */
static void
absorb_own_lease(struct fw_limit *l, struct fw_limit_partition *p,
                 int64_t now_us)
{
    int usable = p->lease_seq && now_us < p->lease_until_us &&
                 p->lease_ledger == p->ledger;

    for (guint i = 0; i < p->holders->len; i++) {
        struct fw_holder *h = &g_array_index(p->holders, struct fw_holder, i);
        if (h->boot != l->self.boot || strcmp(h->name, l->self.name) != 0) {
            continue;
        }
        for (guint k = 0; k < p->shares->len; k++) {
            struct fw_team_share *share = g_ptr_array_index(p->shares, k);
            int64_t level;
            Fw_Bucket_Refill(&share->leased, now_us);
            level = usable ? share->leased.level : 0;
            Fw_Bucket_Resize(&share->leased, 0, 0, now_us);
            for (guint g = share->grants->len; g > 0; g--) {
                if (g_array_index(share->grants, struct fw_lease_grant, g - 1)
                        .holder == (int)i) {
                    g_array_remove_index_fast(share->grants, g - 1);
                }
            }
            if (share->ledger == p->ledger) {
                Fw_Ledger_ResizeUnleased(l, share, now_us);
                Fw_Bucket_Put(&share->unleased, level, now_us);
            }
        }
        memset(h, 0, sizeof(*h));
        p->lease_seq = 0;
        p->renew_pending = 0;
    }
}

void
Fw_Handover_OnHandover(struct fw_limit *l, const char *from,
                       const struct fw_limit_msg *msg, int64_t now_us)
{
    struct fw_limit_partition *p = &l->partitions[msg->partition];

    Fw_Ledger_Refresh(l, msg->partition, now_us);
    if (!p->handover_seq || msg->seq != p->handover_seq || p->ledger ||
        l->draining || !msg->fence || strcmp(from, p->predecessor) != 0) {
        return;
    }
    p->handover_seq = 0;
    p->ledger = msg->fence;
    p->predecessor_tenure = msg->acked_seq;
    p->is_first = 0;
    p->teams_loaded = 0;
    p->ledger_since_us = now_us;
    p->unleased_until_us = p->handover_sent_us + msg->expires_in_us;
    load_holders(p, msg, now_us);
    for (int i = 0; i < msg->n_entries; i++) {
        /* Teams that aren't configured here yet are added too, since their
         * leases must count once the configuration arrives. */
        struct fw_team_share *share =
            Fw_TeamShare_FindOrAdd(l, msg->entries[i].team, now_us);
        if (share->partition == msg->partition) {
            load_entry(l, share, p->ledger, &msg->entries[i], now_us);
        }
    }
    absorb_own_lease(l, p, now_us);
}
