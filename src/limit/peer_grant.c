/* Grants to peers, and returns of tokens. */
#include <string.h>

#include "limit/limit_internal.h"

static void
expire_grants(struct fw_limit *l, int64_t now_us)
{
    struct fw_peer_grant *g;

    while ((g = g_queue_peek_head(&l->peer_grants)) &&
           now_us >= g->granted_us + FW_RESERVATION_US) {
        g_free(g_queue_pop_head(&l->peer_grants));
    }
}

static GList *
find_peer_grant(struct fw_limit *l, const char *peer, uint64_t seq)
{
    for (GList *e = l->peer_grants.head; e; e = e->next) {
        const struct fw_peer_grant *g = e->data;
        if (g->seq == seq && strcmp(g->peer, peer) == 0) {
            return e;
        }
    }
    return NULL;
}

static void
record_grant(struct fw_limit *l, const char *from,
             const struct fw_limit_msg *msg,
             const struct fw_token_split *taken, int64_t now_us)
{
    struct fw_peer_grant *g;

    expire_grants(l, now_us);
    if (taken->leased + taken->unleased == 0) {
        return;
    }
    g = g_new0(struct fw_peer_grant, 1);
    g_strlcpy(g->peer, from, sizeof(g->peer));
    g_strlcpy(g->team, msg->team, sizeof(g->team));
    g->seq = msg->seq;
    g->split = *taken;
    g->granted_us = now_us;
    g_queue_push_tail(&l->peer_grants, g);
}

/* Ends the reservation of a grant: @msg returns all its tokens, as the request
 * failed, or none, as they were spent. A grant whose reservation expired is
 * not put back, since the bucket has refilled its capacity. */
static void
settle_grant(struct fw_limit *l, struct fw_team_share *share, const char *from,
             const struct fw_limit_msg *msg, int64_t now_us)
{
    struct fw_peer_grant *g;
    GList *e;

    expire_grants(l, now_us);
    e = find_peer_grant(l, from, msg->fence);
    if (!e) {
        return;
    }
    g = e->data;
    if (strcmp(g->team, share->name) == 0 && msg->tokens == 0) {
        Fw_Bucket_Commit(&share->leased, g->split.leased, now_us);
        Fw_Bucket_Commit(&share->unleased, g->split.unleased, now_us);
    }
    else if (strcmp(g->team, share->name) == 0 &&
             msg->tokens == g->split.leased + g->split.unleased) {
        Fw_Bucket_Cancel(&share->leased, g->split.leased, now_us);
        Fw_Bucket_Cancel(&share->unleased, g->split.unleased, now_us);
    }
    /* The entry stays, so that a duplicate doesn't count. */
    g->split = (struct fw_token_split){0, 0};
}

void
Fw_PeerGrant_OnRequest(struct fw_limit *l, const char *from,
                       const struct fw_limit_msg *msg, int64_t now_us,
                       struct fw_actions *out)
{
    struct fw_team_share *share = Fw_TeamShare_Find(l, msg->team);
    struct fw_limit_msg answer = {.kind = FW_LIMIT_TOKEN_GRANT,
                                  .seq = msg->seq};
    struct fw_token_split got;

    expire_grants(l, now_us);
    if (find_peer_grant(l, from, msg->seq)) {
        return; /* duplicate: the requester would ignore a second grant */
    }
    if (share && !share->removed) {
        Fw_Ledger_Refresh(l, share->partition, now_us);
        Fw_Ledger_AddTeam(l, share, now_us);
        got = Fw_TeamShare_Take(l, share, msg->tokens, 1, now_us);
        answer.tokens = got.leased + got.unleased;
        record_grant(l, from, msg, &got, now_us);
    }
    Fw_Limit_Send(l, from, &answer, out);
}

void
Fw_PeerGrant_SendReturn(struct fw_limit *l, const char *to, const char *team,
                        int64_t tokens, uint64_t request_seq,
                        struct fw_actions *out)
{
    const struct fw_member *m = Fw_Fleet_Find(l->fleet, to);
    struct fw_limit_msg msg = {.kind = FW_LIMIT_TOKEN_RETURN,
                               .seq = ++l->seq,
                               .acked_seq = l->self.boot,
                               .fence = request_seq,
                               .tokens = tokens};

    if (!m) {
        return;
    }
    /* For that process only: after a restart the buckets are new. */
    msg.boot = m->boot;
    g_strlcpy(msg.team, team, sizeof(msg.team));
    Fw_Limit_Send(l, to, &msg, out);
}

/* A duplicated return must not count twice, or the team would exceed its
 * rate. */
static int
is_new_return(struct fw_limit *l, const char *from,
              const struct fw_limit_msg *msg)
{
    struct fw_return_sender *known = g_hash_table_lookup(l->senders, from);

    if (!known) {
        known = g_new0(struct fw_return_sender, 1);
        g_hash_table_insert(l->senders, g_strdup(from), known);
    }
    if (msg->acked_seq < known->boot ||
        (msg->acked_seq == known->boot && msg->seq <= known->seq)) {
        return 0;
    }
    known->boot = msg->acked_seq;
    known->seq = msg->seq;
    return 1;
}

void
Fw_PeerGrant_OnReturn(struct fw_limit *l, const char *from,
                      const struct fw_limit_msg *msg, int64_t now_us)
{
    struct fw_team_share *share = Fw_TeamShare_Find(l, msg->team);

    if (!share || msg->boot != l->self.boot || msg->tokens > share->burst ||
        !is_new_return(l, from, msg)) {
        return;
    }
    if (msg->fence) {
        settle_grant(l, share, from, msg, now_us);
        return;
    }
    l->n_returned.value += msg->tokens;
    Fw_TeamShare_Put(l, share, msg->tokens, now_us);
}

void
Fw_Limit_Refund(struct fw_limit *l, const struct fw_team *team, int64_t tokens,
                int64_t now_us, struct fw_actions *out)
{
    struct fw_team_share *share = Fw_TeamShare_Get(l, team, now_us);
    int64_t left = MAX(tokens, 0);

    l->n_returned.value += left;
    left -= Fw_TeamShare_Put(l, share, left, now_us);
    if (left > 0) {
        share->unreturned = MIN(share->unreturned + left, share->burst);
        Fw_Actions_Wake(out, now_us + FW_RETURN_INTERVAL_US);
    }
}
