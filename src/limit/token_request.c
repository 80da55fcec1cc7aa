/*
 * Token requests of this instance. Tokens come from the local buckets, else
 * from the leader and the followers of the team's partition, which are asked
 * one after the other and have FW_PEER_TIMEOUT_US each. Partial grants are
 * added up; if they don't suffice they are returned.
 */
#include <string.h>

#include "limit/limit_internal.h"

/* Ends the reservations, since all tokens are spent now. Peers are
 * notified for large grants only; the reservations of small ones expire. */
static void
commit_grants(struct fw_limit *l, struct fw_token_request *a, int64_t now_us,
              struct fw_actions *out)
{
    struct fw_team_share *s = Fw_TeamShare_Find(l, a->team);

    if (s && now_us < a->first_sent_us + FW_RESERVATION_US) {
        Fw_Bucket_Commit(&s->leased, a->leased, now_us);
        Fw_Bucket_Commit(&s->unleased, a->unleased, now_us);
    }
    for (int i = 0; i < a->n_peers; i++) {
        struct fw_peer_request *peer = &a->peers[i];
        if (s && peer->tokens > s->burst / FW_LARGE_GRANT_DIVISOR) {
            Fw_PeerGrant_SendReturn(l, peer->name, a->team, 0, peer->seq, out);
        }
        peer->tokens = 0; /* not to be returned */
    }
}

static void
finish_request(struct fw_limit *l, struct fw_token_request *a, int granted,
               int64_t retry_us, int64_t now_us, struct fw_actions *out)
{
    struct fw_limit_answer *ans = g_new0(struct fw_limit_answer, 1);

    ans->ticket = a->ticket;
    ans->granted = granted;
    ans->retry_after_us = retry_us;
    g_queue_push_tail(&l->answers, ans);
    a->done = 1;
    a->free_us = now_us + FW_LATE_GRANT_US;
    if (granted) {
        l->n_granted.value++;
        commit_grants(l, a, now_us, out);
    }
    else {
        l->n_refused.value++;
    }
}

/*
 * Returns the collected tokens to where they came from. Local buckets take
 * them back only until the reservation may have expired: their capacity is
 * refilled then, and the team would have the tokens twice.
 */
static void
return_collected(struct fw_limit *l, struct fw_token_request *a,
                 int64_t now_us, struct fw_actions *out)
{
    struct fw_team_share *s = Fw_TeamShare_Find(l, a->team);

    if (s && now_us < a->first_sent_us + FW_RESERVATION_US) {
        Fw_Bucket_Cancel(&s->leased, a->leased, now_us);
        Fw_Bucket_Cancel(&s->unleased, a->unleased, now_us);
    }
    a->leased = 0;
    a->unleased = 0;
    for (int i = 0; i < a->n_peers; i++) {
        if (a->peers[i].tokens > 0) {
            Fw_PeerGrant_SendReturn(l, a->peers[i].name, a->team,
                                    a->peers[i].tokens, a->peers[i].seq, out);
        }
        a->peers[i].tokens = 0;
    }
}

static void
refuse_request(struct fw_limit *l, struct fw_token_request *a, int64_t now_us,
               struct fw_actions *out)
{
    struct fw_team_share *s = Fw_TeamShare_Find(l, a->team);
    int64_t missing = a->tokens - a->collected;
    int64_t retry = FW_SEC;
    int silent = 0;

    for (int i = 0; i < a->n_peers; i++) {
        silent |= !a->peers[i].answered;
    }
    l->n_unreachable.value += silent;
    if (s && s->rate > 0) {
        /* Time in which the region refills the missing tokens. */
        double wait = (double)missing / (double)s->rate * (double)FW_SEC;
        retry = (int64_t)CLAMP(wait, (double)FW_MSEC, 3600.0 * FW_SEC);
    }
    if (s && !silent && a->n_peers > 0) {
        s->exhausted_until_us = now_us + MIN(retry, FW_EXHAUSTED_MAX_US);
        s->exhausted_tokens = a->tokens;
    }
    return_collected(l, a, now_us, out);
    finish_request(l, a, 0, retry, now_us, out);
}

static int
was_contacted(const struct fw_token_request *a, const char *name)
{
    for (int i = 0; i < a->n_peers; i++) {
        if (strcmp(a->peers[i].name, name) == 0) {
            return 1;
        }
    }
    return 0;
}

/* Return: the leader or a follower not asked yet, NULL when there is none. The
 * ticket decides which one is asked first, to spread the load. */
static const struct fw_member *
next_peer(const struct fw_limit *l, const struct fw_token_request *a,
          int partition)
{
    for (int i = 0; i <= FW_FOLLOWERS_MAX; i++) {
        int index = (int)((a->ticket + (uint64_t)i) % (FW_FOLLOWERS_MAX + 1));
        const struct fw_member *m =
            Fw_Limit_LeaderOrFollower(l, partition, index);
        if (m && !Fw_Fleet_IsSelf(l->fleet, m) && !was_contacted(a, m->name)) {
            return m;
        }
    }
    return NULL;
}

static int
has_leader(const struct fw_limit *l, int partition)
{
    return Fw_Roles_Holder(l->roles, FW_ROLE_BUDGET, partition) != NULL;
}

static void
request_next_peer(struct fw_limit *l, struct fw_token_request *a,
                  int64_t now_us, struct fw_actions *out)
{
    struct fw_team_share *s = Fw_TeamShare_Find(l, a->team);
    const struct fw_member *m = s && a->n_peers < FW_PEER_REQUESTS_MAX
                                    ? next_peer(l, a, s->partition)
                                    : NULL;
    struct fw_limit_msg msg = {.kind = FW_LIMIT_TOKEN_REQUEST};
    struct fw_peer_request *peer;

    if (!m || (a->first_sent_us &&
               now_us >= a->first_sent_us + FW_REQUEST_TIMEOUT_US)) {
        refuse_request(l, a, now_us, out);
        return;
    }
    peer = &a->peers[a->n_peers++];
    g_strlcpy(peer->name, m->name, sizeof(peer->name));
    peer->seq = ++l->seq;
    a->first_sent_us = a->first_sent_us ? a->first_sent_us : now_us;
    a->last_sent_us = now_us;
    msg.seq = peer->seq;
    msg.tokens = a->tokens - a->collected;
    g_strlcpy(msg.team, a->team, sizeof(msg.team));
    Fw_Limit_Send(l, m->name, &msg, out);
    Fw_Actions_Wake(out, now_us + FW_PEER_TIMEOUT_US);
}

/* Grants the request if local tokens make up what is missing. */
static int
try_local(struct fw_limit *l, struct fw_team_share *s,
          struct fw_token_request *a, int64_t now_us, struct fw_actions *out)
{
    int64_t need = a->tokens - a->collected;
    struct fw_token_split got = Fw_TeamShare_Take(l, s, need, 0, now_us);

    if (got.leased + got.unleased >= need) {
        finish_request(l, a, 1, 0, now_us, out);
        return 1;
    }
    Fw_Bucket_Put(&s->leased, got.leased * FW_MICROTOKENS_PER_TOKEN, now_us);
    Fw_Bucket_Put(&s->unleased, got.unleased * FW_MICROTOKENS_PER_TOKEN,
                  now_us);
    return 0;
}

/* Reserves the local tokens while peers are asked for the rest. */
static void
reserve_local(struct fw_limit *l, struct fw_team_share *s,
              struct fw_token_request *a, int64_t now_us)
{
    struct fw_token_split got =
        Fw_TeamShare_Take(l, s, a->tokens - a->collected, 1, now_us);

    a->leased += got.leased;
    a->unleased += got.unleased;
    a->collected += got.leased + got.unleased;
}

static void
advance_request(struct fw_limit *l, struct fw_token_request *a, int64_t now_us,
                struct fw_actions *out)
{
    struct fw_team_share *s = Fw_TeamShare_Find(l, a->team);

    if (!s) {
        refuse_request(l, a, now_us, out);
        return;
    }
    if (a->n_peers == 0) {
        Fw_Ledger_Refresh(l, s->partition, now_us);
        Fw_Ledger_AddTeam(l, s, now_us);
        if (try_local(l, s, a, now_us, out)) {
            return;
        }
        if (!has_leader(l, s->partition) &&
            now_us < a->started_us + FW_LEADER_WAIT_US) {
            Fw_Actions_Wake(out, now_us + FW_PEER_TIMEOUT_US);
            return; /* no leader yet after a start of the fleet */
        }
        reserve_local(l, s, a, now_us);
        request_next_peer(l, a, now_us, out);
    }
    else if (now_us >= a->last_sent_us + FW_PEER_TIMEOUT_US) {
        request_next_peer(l, a, now_us, out);
    }
    else {
        Fw_Actions_Wake(out, a->last_sent_us + FW_PEER_TIMEOUT_US);
    }
}

void
Fw_Limit_Request(struct fw_limit *l, const struct fw_team *team,
                 uint64_t ticket, int64_t tokens, int64_t now_us,
                 struct fw_actions *out)
{
    struct fw_team_share *s = Fw_TeamShare_Get(l, team, now_us);
    struct fw_token_request *a = g_new0(struct fw_token_request, 1);

    l->n_requests.value++;
    s->demand_requests++;
    s->demand_tokens += MAX(tokens, 0);
    a->ticket = ticket;
    a->tokens = MAX(tokens, 0);
    a->started_us = now_us;
    g_strlcpy(a->team, team->name, sizeof(a->team));
    Fw_List_Append(&l->requests, &a->link);
    if (a->tokens > s->burst) {
        finish_request(l, a, 0, 0, now_us, out); /* can never be granted */
        return;
    }
    if (now_us < s->exhausted_until_us && a->tokens >= s->exhausted_tokens) {
        /* Peers had too few tokens just now; only local ones can suffice. */
        if (!try_local(l, s, a, now_us, out)) {
            refuse_request(l, a, now_us, out);
        }
        return;
    }
    advance_request(l, a, now_us, out);
}

void
Fw_TokenRequest_Tick(struct fw_limit *l, int64_t now_us,
                     struct fw_actions *out)
{
    struct fw_list *pos;
    struct fw_list *tmp;

    FW_LIST_EACH_SAFE (pos, tmp, &l->requests) {
        struct fw_token_request *a =
            FW_LIST_ENTRY(pos, struct fw_token_request, link);
        if (a->cancelled) {
            a->cancelled = 0;
            a->free_us = now_us + FW_LATE_GRANT_US;
            return_collected(l, a, now_us, out);
        }
        else if (!a->done) {
            advance_request(l, a, now_us, out);
        }
        else if (now_us >= a->free_us) {
            Fw_List_Remove(&a->link);
            g_free(a);
        }
    }
}

static struct fw_token_request *
find_request(struct fw_limit *l, uint64_t seq, struct fw_peer_request **peer)
{
    struct fw_list *pos;

    FW_LIST_EACH (pos, &l->requests) {
        struct fw_token_request *a =
            FW_LIST_ENTRY(pos, struct fw_token_request, link);
        for (int i = 0; i < a->n_peers; i++) {
            if (a->peers[i].seq == seq) {
                *peer = &a->peers[i];
                return a;
            }
        }
    }
    return NULL;
}

void
Fw_TokenRequest_OnGrant(struct fw_limit *l, const char *from,
                        const struct fw_limit_msg *msg, int64_t now_us,
                        struct fw_actions *out)
{
    struct fw_peer_request *peer = NULL;
    struct fw_token_request *a = find_request(l, msg->seq, &peer);
    struct fw_team_share *s;

    if (!a || peer->answered || strcmp(peer->name, from) != 0) {
        return; /* duplicate, or later than FW_LATE_GRANT_US */
    }
    peer->answered = 1;
    if (a->done || now_us >= a->first_sent_us + FW_REQUEST_TIMEOUT_US) {
        /* Too late to be spent before the peer's reservation expires. */
        if (msg->tokens > 0) {
            Fw_PeerGrant_SendReturn(l, from, a->team, msg->tokens, peer->seq,
                                    out);
        }
        return;
    }
    peer->tokens = MIN(msg->tokens, a->tokens - a->collected);
    a->collected += peer->tokens;
    s = Fw_TeamShare_Find(l, a->team);
    if (s && try_local(l, s, a, now_us, out)) {
        return;
    }
    request_next_peer(l, a, now_us, out);
}

void
Fw_Limit_Cancel(struct fw_limit *l, uint64_t ticket)
{
    struct fw_list *pos;

    FW_LIST_EACH (pos, &l->requests) {
        struct fw_token_request *a =
            FW_LIST_ENTRY(pos, struct fw_token_request, link);
        if (!a->done && a->ticket == ticket) {
            a->done = 1;
            a->cancelled = 1;
        }
    }
}
