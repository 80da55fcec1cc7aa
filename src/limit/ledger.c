/*
 * The leader's ledger of leases.
 *
 * A lease is only granted in answer to a renewal, and the holder counts its
 * term from when it sent that, so an answer delayed in the network yields an
 * expired lease. The leader counts the same term from its answer, plus clock
 * drift. An offered lease counts as granted until a later renewal shows that
 * the holder did not apply it.
 */
#include <errno.h>
#include <string.h>

#include "base/fault.h"
#include "limit/limit_internal.h"

int64_t
Fw_Ledger_MaxLeaseUs(const struct fw_limit *l)
{
    return l->lease_us + l->lease_us / 1000000 * FW_ROLE_DRIFT_PPM +
           FW_RESERVATION_US;
}

int
Fw_Ledger_MayGrant(struct fw_limit *l, int partition, int64_t now_us)
{
    const struct fw_limit_partition *p = &l->partitions[partition];
    int rc = Fw_Roles_MayAct(l->roles, FW_ROLE_BUDGET, partition, now_us, 0);

    if (l->draining || p->successor[0]) {
        return 0;
    }
    if (rc == -EAGAIN && p->ledger && p->predecessor_tenure) {
        /* The predecessor stopped granting before it handed over its
         * ledger, which thus lists all leases that may be in use. */
        return Fw_Roles_PredecessorTenure(l->roles, FW_ROLE_BUDGET,
                                          partition) == p->predecessor_tenure;
    }
    return rc == 0;
}

void
Fw_Ledger_ResizeUnleased(struct fw_limit *l, struct fw_team_share *share,
                         int64_t now_us)
{
    int64_t rate = share->rate;
    int64_t burst = share->burst;

    (void)l;
    for (guint i = 0; i < share->grants->len; i++) {
        const struct fw_lease_grant *g =
            &g_array_index(share->grants, struct fw_lease_grant, i);
        rate -= Fw_Lease_GrantedRate(g);
        burst -= Fw_Lease_GrantedBurst(g);
    }
    Fw_Bucket_Resize(&share->unleased, rate, burst, now_us);
}

void
Fw_Ledger_ClearGrants(struct fw_limit *l, struct fw_limit_partition *p,
                      int holder, int64_t now_us)
{
    for (guint i = 0; i < p->shares->len; i++) {
        struct fw_team_share *share = g_ptr_array_index(p->shares, i);
        guint before = share->grants->len;
        for (guint g = share->grants->len; g > 0; g--) {
            if (g_array_index(share->grants, struct fw_lease_grant, g - 1)
                    .holder == holder) {
                g_array_remove_index_fast(share->grants, g - 1);
            }
        }
        if (share->grants->len != before && share->ledger == p->ledger) {
            Fw_Ledger_ResizeUnleased(l, share, now_us);
        }
    }
}

static void
clear_ledger(struct fw_limit_partition *p)
{
    for (guint i = 0; i < p->shares->len; i++) {
        struct fw_team_share *share = g_ptr_array_index(p->shares, i);
        g_array_set_size(share->grants, 0);
        share->ledger = 0;
    }
    g_array_set_size(p->holders, 0);
    p->ledger = 0;
    p->predecessor_tenure = 0;
}

/* Starts an empty ledger: all leases granted by former leaders have expired.
 */
static void
start_ledger(struct fw_limit *l, int partition, uint64_t tenure, int is_first,
             int64_t now_us)
{
    struct fw_limit_partition *p = &l->partitions[partition];
    int usable = now_us < p->unleased_until_us;

    clear_ledger(p);
    p->ledger = tenure;
    p->ledger_since_us = now_us;
    p->teams_loaded = 0;
    p->is_first = is_first;
    for (guint i = 0; i < p->shares->len; i++) {
        struct fw_team_share *share = g_ptr_array_index(p->shares, i);
        Fw_Bucket_Refill(&share->unleased, now_us);
        if (!usable) {
            share->unleased.level = 0;
        }
    }
}

/* Drops the ledger of a former leader once its last leases have expired. Its
 * unleased buckets became unusable earlier, as a new leader may grant them. */
static void
end_expired_ledger(const struct fw_limit *l, struct fw_limit_partition *p,
                   int64_t now_us)
{
    if (p->ledger && now_us >= p->unleased_until_us + Fw_Ledger_MaxLeaseUs(l) -
                                   l->lease_us) {
        clear_ledger(p);
    }
}

static void
expire_holders(struct fw_limit *l, struct fw_limit_partition *p,
               int64_t now_us)
{
    for (guint i = 0; i < p->holders->len; i++) {
        struct fw_holder *h = &g_array_index(p->holders, struct fw_holder, i);
        if (h->name[0] && now_us >= h->expires_us) {
            Fw_Ledger_ClearGrants(l, p, (int)i, now_us);
            memset(h, 0, sizeof(*h));
        }
    }
}

void
Fw_Ledger_Refresh(struct fw_limit *l, int partition, int64_t now_us)
{
    struct fw_limit_partition *p = &l->partitions[partition];
    uint64_t tenure = Fw_Roles_Tenure(l->roles, FW_ROLE_BUDGET, partition);

    if (!Fw_Ledger_MayGrant(l, partition, now_us)) {
        end_expired_ledger(l, p, now_us);
        expire_holders(l, p, now_us);
        return;
    }
    if (p->tenure != tenure) {
        int inherited =
            p->predecessor_tenure &&
            Fw_Roles_PredecessorTenure(l->roles, FW_ROLE_BUDGET, partition) ==
                p->predecessor_tenure;
        p->tenure = tenure;
        if (!inherited) {
            start_ledger(l, partition, tenure,
                         Fw_Roles_IsFirst(l->roles, FW_ROLE_BUDGET, partition),
                         now_us);
        }
    }
    else if (!p->ledger) {
        /* The ledger expired while the log was unavailable. */
        start_ledger(l, partition, tenure, 0, now_us);
    }
    expire_holders(l, p, now_us);
    p->unleased_until_us = now_us + l->lease_us;
}

void
Fw_Ledger_AddTeam(struct fw_limit *l, struct fw_team_share *share,
                  int64_t now_us)
{
    const struct fw_limit_partition *p = &l->partitions[share->partition];

    if (!p->ledger || p->successor[0]) {
        return;
    }
    if (share->ledger == p->ledger) {
        if (share->scaled_down || share->fitted_version != share->version) {
            share->fitted_version = share->version;
            Fw_Ledger_ResizeUnleased(l, share, now_us);
        }
        return;
    }
    share->ledger = p->ledger;
    share->fitted_version = share->version;
    Fw_Ledger_ResizeUnleased(l, share, now_us);
    /* Full at once only if no tokens of it can have been spent: no leader came
     * before, or the team was added well after this ledger was started. */
    if (p->is_first || (p->teams_loaded &&
                        now_us >= p->ledger_since_us + FW_NEW_TEAM_DELAY_US)) {
        Fw_Bucket_Put(&share->unleased,
                      share->unleased.burst * FW_MICROTOKENS_PER_TOKEN,
                      now_us);
    }
}
