/* Table of the teams' shares; dispatch of ticks and messages. */
#include "limit/limit.h"

#include <errno.h>
#include <string.h>

#include "base/fault.h"
#include "limit/limit_internal.h"

static void
add_metric(struct fw_metrics *metrics, struct fw_metric *m, const char *name,
           const char *help, int is_gauge)
{
    *m = (struct fw_metric){.name = name, .help = help, .is_gauge = is_gauge};
    if (metrics) {
        Fw_Metrics_Add(metrics, m);
    }
}

static void
add_metrics(struct fw_limit *l, struct fw_metrics *m)
{
    add_metric(m, &l->n_requests, "fw_budget_asks_total",
               "requests for which a budget was asked", 0);
    add_metric(m, &l->n_granted, "fw_budget_granted_total",
               "requests whose tokens were granted", 0);
    add_metric(m, &l->n_refused, "fw_budget_refused_total",
               "requests refused for want of tokens", 0);
    add_metric(m, &l->n_unreachable, "fw_budget_refused_unreachable_total",
               "of these, with a peer that did not answer in time", 0);
    add_metric(m, &l->n_leased, "fw_budget_partitions_leased",
               "partitions of which leases are held here", 1);
    add_metric(m, &l->n_unled, "fw_budget_partitions_unled",
               "partitions led here by the log that may not grant now", 1);
    add_metric(m, &l->n_sent, "fw_budget_messages_total",
               "budget messages sent", 0);
    add_metric(m, &l->n_returned, "fw_budget_returned_tokens_total",
               "tokens taken back from finished requests", 0);
}

void
Fw_TeamShare_Free(gpointer data)
{
    struct fw_team_share *share = data;

    g_array_unref(share->grants);
    g_free(share);
}

struct fw_limit *
Fw_Limit_New(const struct fw_self *self, const struct fw_fleet *fleet,
             const struct fw_roles *roles, uint32_t seed,
             struct fw_metrics *metrics)
{
    struct fw_limit *l = g_new0(struct fw_limit, 1);

    l->self = *self;
    l->fleet = fleet;
    l->roles = roles;
    l->rand = g_rand_new_with_seed(seed);
    l->shares = g_hash_table_new_full(g_str_hash, g_str_equal, NULL,
                                      Fw_TeamShare_Free);
    l->senders =
        g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
    l->lease_us = Fw_Roles_TakeoverWaitUs(roles, FW_ROLE_BUDGET);
    l->n_partitions = Fw_Roles_PartitionCount(roles);
    l->partitions = g_new0(struct fw_limit_partition, (gsize)l->n_partitions);
    for (int i = 0; i < l->n_partitions; i++) {
        l->partitions[i].holders =
            g_array_new(FALSE, TRUE, sizeof(struct fw_holder));
        l->partitions[i].shares = g_ptr_array_new();
    }
    Fw_List_Init(&l->requests);
    g_queue_init(&l->answers);
    g_queue_init(&l->peer_grants);
    add_metrics(l, metrics);
    return l;
}

void
Fw_Limit_Free(struct fw_limit *l)
{
    struct fw_list *pos;
    struct fw_list *tmp;

    FW_LIST_EACH_SAFE (pos, tmp, &l->requests) {
        g_free(FW_LIST_ENTRY(pos, struct fw_token_request, link));
    }
    g_queue_clear_full(&l->answers, g_free);
    g_queue_clear_full(&l->peer_grants, g_free);
    for (int i = 0; i < l->n_partitions; i++) {
        g_array_unref(l->partitions[i].holders);
        g_ptr_array_unref(l->partitions[i].shares);
    }
    g_free(l->partitions);
    g_hash_table_unref(l->shares);
    g_hash_table_unref(l->senders);
    g_rand_free(l->rand);
    g_free(l);
}

/* Reduces the local buckets in proportion as soon as a team's rate or burst is
 * lowered; the leader adjusts its ledger at the next renewal. */
static void
scale_down(struct fw_team_share *share, int64_t rate, int64_t burst,
           int64_t now_us)
{
    double rate_ratio =
        share->rate > 0 ? (double)rate / (double)share->rate : 1;
    double burst_ratio =
        share->burst > 0 ? (double)burst / (double)share->burst : 1;

    rate_ratio = MIN(rate_ratio, 1.0);
    burst_ratio = MIN(burst_ratio, 1.0);
    if (rate_ratio < 1.0 || burst_ratio < 1.0) {
        share->scaled_down = 1;
        Fw_Bucket_Resize(
            &share->leased, (int64_t)((double)share->leased.rate * rate_ratio),
            (int64_t)((double)share->leased.burst * burst_ratio), now_us);
        Fw_Bucket_Resize(
            &share->unleased,
            (int64_t)((double)share->unleased.rate * rate_ratio),
            (int64_t)((double)share->unleased.burst * burst_ratio), now_us);
    }
}

static void
apply_team(struct fw_limit *l, struct fw_team_share *share,
           const struct fw_team *team, int64_t now_us)
{
    int regions = MAX(l->self.regions, 1);
    int64_t rate = team->rate / regions;
    int64_t burst = team->burst / regions;

    share->version = team->version;
    if (rate != share->rate || burst != share->burst) {
        scale_down(share, rate, burst, now_us);
        share->rate = rate;
        share->burst = burst;
    }
    Fw_Ledger_AddTeam(l, share, now_us);
}

struct fw_team_share *
Fw_TeamShare_Find(const struct fw_limit *l, const char *team)
{
    return g_hash_table_lookup(l->shares, team);
}

struct fw_team_share *
Fw_TeamShare_FindOrAdd(struct fw_limit *l, const char *team, int64_t now_us)
{
    struct fw_team_share *share = Fw_TeamShare_Find(l, team);

    if (!share) {
        share = g_new0(struct fw_team_share, 1);
        g_strlcpy(share->name, team, sizeof(share->name));
        share->partition = Fw_Roles_PartitionOf(l->roles, team);
        share->removed = 1;
        share->grants =
            g_array_new(FALSE, TRUE, sizeof(struct fw_lease_grant));
        share->unleased.refilled_us = now_us;
        share->leased.refilled_us = now_us;
        g_hash_table_insert(l->shares, share->name, share);
        g_ptr_array_add(l->partitions[share->partition].shares, share);
    }
    return share;
}

struct fw_team_share *
Fw_TeamShare_Get(struct fw_limit *l, const struct fw_team *team,
                 int64_t now_us)
{
    struct fw_team_share *share =
        Fw_TeamShare_FindOrAdd(l, team->name, now_us);

    if (share->removed || share->version != team->version || !share->version) {
        share->removed = 0;
        apply_team(l, share, team, now_us);
    }
    return share;
}

int
Fw_TeamShare_UnleasedUsable(const struct fw_limit *l,
                            const struct fw_team_share *share,
                            int64_t margin_us, int64_t now_us)
{
    return now_us + margin_us <
           l->partitions[share->partition].unleased_until_us;
}

int
Fw_TeamShare_LeaseUsable(const struct fw_limit *l,
                         const struct fw_team_share *share, int64_t margin_us,
                         int64_t now_us)
{
    const struct fw_limit_partition *p = &l->partitions[share->partition];

    /* Checked at each use: the lease may have expired during a pause of this
     * process and been granted to others. */
    return (p->lease_seq != 0 && now_us + margin_us < p->lease_until_us) ||
           (p->lease_seq != 0 && FW_FAULT("limit-lease-forever"));
}

struct fw_token_split
Fw_TeamShare_Take(struct fw_limit *l, struct fw_team_share *share,
                  int64_t tokens, int reserve, int64_t now_us)
{
    int64_t margin = reserve ? FW_RESERVATION_US : 0;
    struct fw_token_split got = {0, 0};

    if (Fw_TeamShare_LeaseUsable(l, share, margin, now_us)) {
        got.leased = Fw_Bucket_Take(&share->leased, tokens, reserve, now_us);
    }
    if (Fw_TeamShare_UnleasedUsable(l, share, margin, now_us)) {
        got.unleased = Fw_Bucket_Take(&share->unleased, tokens - got.leased,
                                      reserve, now_us);
    }
    return got;
}

int64_t
Fw_TeamShare_Put(struct fw_limit *l, struct fw_team_share *share,
                 int64_t tokens, int64_t now_us)
{
    int64_t left = tokens * FW_MICROTOKENS_PER_TOKEN;

    if (Fw_TeamShare_UnleasedUsable(l, share, 0, now_us)) {
        left -= Fw_Bucket_Put(&share->unleased, left, now_us);
    }
    if (Fw_TeamShare_LeaseUsable(l, share, 0, now_us)) {
        left -= Fw_Bucket_Put(&share->leased, left, now_us);
    }
    return tokens - left / FW_MICROTOKENS_PER_TOKEN;
}

void
Fw_Limit_Send(struct fw_limit *l, const char *to, struct fw_limit_msg *msg,
              struct fw_actions *out)
{
    const struct fw_member *m = Fw_Fleet_Find(l->fleet, to);
    struct fw_msg wrap = {.area = FW_AREA_LIMIT, .u.limit = *msg};

    if (!m || Fw_Fleet_IsSelf(l->fleet, m)) {
        Fw_Limit_ClearMsg(msg);
        return;
    }
    l->n_sent.value++;
    Fw_Actions_SendPeer(out, m->name, m->addr, &wrap);
}

static void
apply_config(struct fw_limit *l, const struct fw_config *cfg, int64_t now_us)
{
    GHashTableIter it;
    gpointer value;

    if (l->cfg_applied && cfg->next_offset == l->cfg_offset) {
        return;
    }
    l->cfg_applied = 1;
    l->cfg_offset = cfg->next_offset;
    g_hash_table_iter_init(&it, cfg->teams);
    while (g_hash_table_iter_next(&it, NULL, &value)) {
        const struct fw_team *team = value;
        int p = Fw_Roles_PartitionOf(l->roles, team->name);
        if (l->partitions[p].ledger || Fw_TeamShare_Find(l, team->name)) {
            Fw_Ledger_AddTeam(l, Fw_TeamShare_Get(l, team, now_us), now_us);
        }
    }
    for (int i = 0; i < l->n_partitions; i++) {
        l->partitions[i].teams_loaded = l->partitions[i].ledger != 0;
    }
    g_hash_table_iter_init(&it, l->shares);
    while (g_hash_table_iter_next(&it, NULL, &value)) {
        struct fw_team_share *share = value;
        if (!share->removed &&
            !g_hash_table_contains(cfg->teams, share->name)) {
            const struct fw_team none = {.version = 0};
            share->removed = 1;
            apply_team(l, share, &none, now_us);
        }
    }
}

/* A new ledger has the configuration applied again, which adds its teams. */
static void
refresh_partitions(struct fw_limit *l, int64_t now_us)
{
    l->n_leased.value = 0;
    l->n_unled.value = 0;
    for (int i = 0; i < l->n_partitions; i++) {
        const char *holder = Fw_Roles_Holder(l->roles, FW_ROLE_BUDGET, i);
        Fw_Ledger_Refresh(l, i, now_us);
        if (l->partitions[i].ledger && !l->partitions[i].teams_loaded) {
            l->cfg_applied = 0;
        }
        l->n_leased.value += l->partitions[i].lease_seq &&
                             now_us < l->partitions[i].lease_until_us;
        l->n_unled.value += holder && strcmp(holder, l->self.name) == 0 &&
                            !Fw_Ledger_MayGrant(l, i, now_us);
    }
}

void
Fw_Limit_Tick(struct fw_limit *l, const struct fw_config *cfg, int64_t now_us,
              struct fw_actions *out)
{
    refresh_partitions(l, now_us);
    apply_config(l, cfg, now_us);
    Fw_TokenRequest_Tick(l, now_us, out);
    Fw_Handover_Tick(l, now_us, out);
    Fw_Lease_Tick(l, now_us, out);
}

void
Fw_Limit_OnMsg(struct fw_limit *l, const struct fw_config *cfg,
               const char *from, const struct fw_limit_msg *msg,
               int64_t now_us, struct fw_actions *out)
{
    const struct fw_team *team = Fw_Config_FindTeam(cfg, msg->team);

    if (msg->partition >= l->n_partitions) {
        return; /* the peer is configured with more partitions */
    }
    if (team) {
        Fw_TeamShare_Get(l, team, now_us);
    }
    switch (msg->kind) {
    case FW_LIMIT_TOKEN_REQUEST:
        Fw_PeerGrant_OnRequest(l, from, msg, now_us, out);
        break;
    case FW_LIMIT_TOKEN_GRANT:
        Fw_TokenRequest_OnGrant(l, from, msg, now_us, out);
        break;
    case FW_LIMIT_TOKEN_RETURN:
        Fw_PeerGrant_OnReturn(l, from, msg, now_us);
        break;
    case FW_LIMIT_LEASE_RENEW:
        Fw_Ledger_OnRenew(l, from, msg, now_us, out);
        break;
    case FW_LIMIT_LEASE_UPDATE:
        Fw_Lease_OnUpdate(l, from, cfg, msg, now_us);
        break;
    case FW_LIMIT_HANDOVER_OFFER:
        Fw_Handover_OnOffer(l, from, msg, now_us, out);
        break;
    case FW_LIMIT_HANDOVER_REQUEST:
        Fw_Handover_OnRequest(l, from, msg, now_us, out);
        break;
    case FW_LIMIT_HANDOVER:
        Fw_Handover_OnHandover(l, from, msg, now_us);
        break;
    case FW_LIMIT_NONE:
        break;
    }
}

int
Fw_Limit_TakeAnswer(struct fw_limit *l, struct fw_limit_answer *ans)
{
    struct fw_limit_answer *answer = g_queue_pop_head(&l->answers);

    if (!answer) {
        return 0;
    }
    *ans = *answer;
    g_free(answer);
    return 1;
}

void
Fw_Limit_Drain(struct fw_limit *l, int64_t now_us, struct fw_actions *out)
{
    l->draining = 1;
    for (int i = 0; i < l->n_partitions; i++) {
        l->partitions[i].leaving = l->partitions[i].ledger != 0;
        Fw_Lease_Release(l, i, now_us, out);
    }
    Fw_Handover_Tick(l, now_us, out);
}
