/*
 * Limits that servers name in their responses: which one is believed here, and
 * this instance's share of it.
 *
 * Instances exchange what they believe, so that those without a share learn of
 * a limit and of its end. A hub knows all instances and computes its own share
 * and those of its leaves; see limit_message.c.
 */
#include "base/fault.h"
#include "relay/relay_internal.h"

/* A hub's own share is computed anew after this time. */
#define FW_SHARE_AGE_MAX_US (1 * FW_SEC)

/* A reservation is always followed by the run, or by its release. */
static int
batch_of(const struct fw_rl_server *s)
{
    return s->entry.stage == FW_RL_STAGE_DECODE
               ? FW_RL_REQUESTS_PER_RESERVATION
               : 1;
}

int
Fw_ServerLimits_ShareOf(const struct fw_relay *r, const struct fw_rl_server *s,
                        uint64_t instance)
{
    int budget = Fw_ServerLimit_Budget(s->limit.milli);
    int instances;
    int rank = Fw_Members_Rank(r, s->hash, instance, &instances);

    if (!r->store_sync.members_known) {
        return 0;
    }
    return Fw_ServerLimit_Share(budget, instances, rank, batch_of(s));
}

/*
 * A leaf does not know all instances: until its hub has sent its share, it
 * takes what every instance has at least.
 */
static int
least_share(struct fw_relay *r, const struct fw_rl_server *s, int64_t now_us)
{
    int instances = Fw_Members_Count(r, now_us, NULL);

    return r->exchange.counted_us
               ? Fw_ServerLimit_Share(Fw_ServerLimit_Budget(s->limit.milli),
                                      instances, instances, batch_of(s))
               : 0;
}

static void
update_share(struct fw_relay *r, struct fw_rl_server *s, int64_t now_us)
{
    s->limit_share = r->exchange.is_hub
                         ? Fw_ServerLimits_ShareOf(r, s, r->hash)
                         : least_share(r, s, now_us);
    if (FW_FAULT("limit-kept-alone")) {
        s->limit_share = Fw_ServerLimit_Budget(s->limit.milli);
    }
    s->limit_share_us = now_us;
}

void
Fw_ServerLimits_SetShare(struct fw_rl_server *s, int share, int64_t now_us)
{
    s->limit_share = share;
    s->limit_share_us = now_us;
}

static int
share(struct fw_relay *r, struct fw_rl_server *s, int64_t now_us)
{
    if (r->exchange.is_hub &&
        now_us - s->limit_share_us >= FW_SHARE_AGE_MAX_US) {
        update_share(r, s, now_us);
    }
    return s->limit_share;
}

/* Has the limit sent to other instances. */
static void
list_for_sending(struct fw_relay *r, struct fw_rl_server *s, int64_t now_us)
{
    s->limit_changed_us = now_us;
    r->limits_changed = 1;
    if (!s->is_limit_listed) {
        s->is_limit_listed = 1;
        Fw_List_Append(&r->limited_servers, &s->limit_link);
    }
}

static void
apply_change(struct fw_relay *r, struct fw_rl_server *s, int64_t before,
             int64_t now_us)
{
    if (before == FW_NO_LIMIT) {
        s->limit_since_us = now_us;
    }
    update_share(r, s, now_us);
    list_for_sending(r, s, now_us);
}

void
Fw_ServerLimits_Note(struct fw_relay *r, struct fw_rl_server *s, int64_t milli,
                     int64_t now_us)
{
    int64_t before = s->limit.milli;

    if (!s->gone && Fw_ServerLimit_Note(&s->limit, milli, now_us)) {
        apply_change(r, s, before, now_us);
    }
}

void
Fw_ServerLimits_Merge(struct fw_relay *r, struct fw_rl_server *s,
                      int64_t milli, int64_t version, int64_t now_us)
{
    int64_t before = s->limit.milli;

    switch (Fw_ServerLimit_Merge(&s->limit, milli, version, now_us)) {
    case FW_LIMIT_ADOPTED:
        apply_change(r, s, before, now_us);
        break;
    case FW_LIMIT_OUTDATED:
        list_for_sending(r, s, now_us);
        break;
    case FW_LIMIT_UNCHANGED:
        break;
    }
}

void
Fw_ServerLimits_Remove(struct fw_rl_server *s)
{
    if (s->is_limit_listed) {
        s->is_limit_listed = 0;
        Fw_List_Remove(&s->limit_link);
    }
}

/* Requests sent before the limit was known don't count. */
static int64_t
window_start_us(const struct fw_rl_server *s, int64_t now_us)
{
    return MAX(now_us - FW_LIMIT_WINDOW_US, s->limit_since_us);
}

int
Fw_ServerLimits_MaySend(struct fw_relay *r, struct fw_rl_server *s, int n,
                        int64_t now_us)
{
    return s->limit.milli == FW_NO_LIMIT ||
           Fw_SendWindow_Count(&s->sends, window_start_us(s, now_us), now_us) +
                   n <=
               share(r, s, now_us);
}

int
Fw_ServerLimits_MayFollow(struct fw_relay *r, struct fw_rl_server *s,
                          int64_t now_us)
{
    return s->limit.milli == FW_NO_LIMIT ||
           Fw_SendWindow_Sent(&s->sends, window_start_us(s, now_us), now_us) <
               share(r, s, now_us);
}

int64_t
Fw_ServerLimits_AvailableUs(struct fw_relay *r, struct fw_rl_server *s, int n,
                            int64_t now_us)
{
    if (Fw_ServerLimits_MaySend(r, s, n, now_us)) {
        return now_us;
    }
    return share(r, s, now_us) < n
               ? INT64_MAX
               : Fw_SendWindow_AvailableUs(&s->sends, FW_LIMIT_WINDOW_US,
                                           s->limit_share - n, now_us);
}

/* Logs changes, which messages of other instances may have brought, too. */
void
Fw_ServerLimits_Tick(struct fw_relay *r, struct fw_rl_actions *out)
{
    struct fw_list *pos;

    FW_LIST_EACH (pos, &r->limited_servers) {
        struct fw_rl_server *s =
            FW_LIST_ENTRY(pos, struct fw_rl_server, limit_link);
        int64_t milli = s->limit.milli == FW_NO_LIMIT ? -1 : s->limit.milli;

        if (s->logged_limit == s->limit.milli) {
            continue;
        }
        s->logged_limit = s->limit.milli;
        Fw_RelayActions_Log(
            out, r, LOG_NOTICE, "server_limit",
            "\"server\":\"%s\",\"milli_per_s\":%" G_GINT64_FORMAT
            ",\"share\":%d",
            s->entry.id, milli, milli < 0 ? -1 : s->limit_share);
    }
}
