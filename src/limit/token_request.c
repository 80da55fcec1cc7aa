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
commit_grants(struct fw_limit *l, struct fw_token_request *req, int64_t now_us,
              struct fw_actions *out)
{
    struct fw_team_share *share = Fw_TeamShare_Find(l, req->team);

    if (share && now_us < req->first_sent_us + FW_RESERVATION_US) {
        Fw_Bucket_Commit(&share->leased, req->leased, now_us);
        Fw_Bucket_Commit(&share->unleased, req->unleased, now_us);
    }
    for (int i = 0; i < req->n_peers; i++) {
        struct fw_peer_request *peer = &req->peers[i];
        if (share && peer->tokens > share->burst / FW_LARGE_GRANT_DIVISOR) {
            Fw_PeerGrant_SendReturn(l, peer->name, req->team, 0, peer->seq,
                                    out);
        }
        peer->tokens = 0; /* not to be returned */
    }
}

static void
finish_request(struct fw_limit *l, struct fw_token_request *req, int granted,
               int64_t retry_us, int64_t now_us, struct fw_actions *out)
{
    struct fw_limit_answer *ans = g_new0(struct fw_limit_answer, 1);

    ans->ticket = req->ticket;
    ans->granted = granted;
    ans->retry_after_us = retry_us;
    g_queue_push_tail(&l->answers, ans);
    req->done = 1;
    req->free_us = now_us + FW_LATE_GRANT_US;
    if (granted) {
        l->n_granted.value++;
        commit_grants(l, req, now_us, out);
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
return_collected(struct fw_limit *l, struct fw_token_request *req,
                 int64_t now_us, struct fw_actions *out)
{
    struct fw_team_share *share = Fw_TeamShare_Find(l, req->team);

    if (share && now_us < req->first_sent_us + FW_RESERVATION_US) {
        Fw_Bucket_Cancel(&share->leased, req->leased, now_us);
        Fw_Bucket_Cancel(&share->unleased, req->unleased, now_us);
    }
    req->leased = 0;
    req->unleased = 0;
    for (int i = 0; i < req->n_peers; i++) {
        if (req->peers[i].tokens > 0) {
            Fw_PeerGrant_SendReturn(l, req->peers[i].name, req->team,
                                    req->peers[i].tokens, req->peers[i].seq,
                                    out);
        }
        req->peers[i].tokens = 0;
    }
}

static void
refuse_request(struct fw_limit *l, struct fw_token_request *req,
               int64_t now_us, struct fw_actions *out)
{
    struct fw_team_share *share = Fw_TeamShare_Find(l, req->team);
    int64_t missing = req->tokens - req->collected;
    int64_t retry = FW_SEC;
    int silent = 0;

    for (int i = 0; i < req->n_peers; i++) {
        silent |= !req->peers[i].answered;
    }
    l->n_unreachable.value += silent;
    if (share && share->rate > 0) {
        /* Time in which the region refills the missing tokens. */
        double wait = (double)missing / (double)share->rate * (double)FW_SEC;
        retry = (int64_t)CLAMP(wait, (double)FW_MSEC, 3600.0 * FW_SEC);
    }
    if (share && !silent && req->n_peers > 0) {
        share->exhausted_until_us = now_us + MIN(retry, FW_EXHAUSTED_MAX_US);
        share->exhausted_tokens = req->tokens;
    }
    return_collected(l, req, now_us, out);
    finish_request(l, req, 0, retry, now_us, out);
}

static int
was_contacted(const struct fw_token_request *req, const char *name)
{
    for (int i = 0; i < req->n_peers; i++) {
        if (strcmp(req->peers[i].name, name) == 0) {
            return 1;
        }
    }
    return 0;
}

/* Return: the leader or a follower not asked yet, NULL when there is none. The
 * ticket decides which one is asked first, to spread the load. */
static const struct fw_member *
next_peer(const struct fw_limit *l, const struct fw_token_request *req,
          int partition)
{
    for (int i = 0; i <= FW_FOLLOWERS_MAX; i++) {
        int index =
            (int)((req->ticket + (uint64_t)i) % (FW_FOLLOWERS_MAX + 1));
        const struct fw_member *m =
            Fw_Limit_LeaderOrFollower(l, partition, index);
        if (m && !Fw_Fleet_IsSelf(l->fleet, m) &&
            !was_contacted(req, m->name)) {
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
request_next_peer(struct fw_limit *l, struct fw_token_request *req,
                  int64_t now_us, struct fw_actions *out)
{
    struct fw_team_share *share = Fw_TeamShare_Find(l, req->team);
    const struct fw_member *m = share && req->n_peers < FW_PEER_REQUESTS_MAX
                                    ? next_peer(l, req, share->partition)
                                    : NULL;
    struct fw_limit_msg msg = {.kind = FW_LIMIT_TOKEN_REQUEST};
    struct fw_peer_request *peer;

    if (!m || (req->first_sent_us &&
               now_us >= req->first_sent_us + FW_REQUEST_TIMEOUT_US)) {
        refuse_request(l, req, now_us, out);
        return;
    }
    peer = &req->peers[req->n_peers++];
    g_strlcpy(peer->name, m->name, sizeof(peer->name));
    peer->seq = ++l->seq;
    req->first_sent_us = req->first_sent_us ? req->first_sent_us : now_us;
    req->last_sent_us = now_us;
    msg.seq = peer->seq;
    msg.tokens = req->tokens - req->collected;
    g_strlcpy(msg.team, req->team, sizeof(msg.team));
    Fw_Limit_Send(l, m->name, &msg, out);
    Fw_Actions_Wake(out, now_us + FW_PEER_TIMEOUT_US);
}

/* Grants the request if local tokens make up what is missing. */
static int
try_local(struct fw_limit *l, struct fw_team_share *share,
          struct fw_token_request *req, int64_t now_us, struct fw_actions *out)
{
    int64_t need = req->tokens - req->collected;
    struct fw_token_split got = Fw_TeamShare_Take(l, share, need, 0, now_us);

    if (got.leased + got.unleased >= need) {
        finish_request(l, req, 1, 0, now_us, out);
        return 1;
    }
    Fw_Bucket_Put(&share->leased, got.leased * FW_MICROTOKENS_PER_TOKEN,
                  now_us);
    Fw_Bucket_Put(&share->unleased, got.unleased * FW_MICROTOKENS_PER_TOKEN,
                  now_us);
    return 0;
}

/* Reserves the local tokens while peers are asked for the rest. */
static void
reserve_local(struct fw_limit *l, struct fw_team_share *share,
              struct fw_token_request *req, int64_t now_us)
{
    struct fw_token_split got =
        Fw_TeamShare_Take(l, share, req->tokens - req->collected, 1, now_us);

    req->leased += got.leased;
    req->unleased += got.unleased;
    req->collected += got.leased + got.unleased;
}

static void
advance_request(struct fw_limit *l, struct fw_token_request *req,
                int64_t now_us, struct fw_actions *out)
{
    struct fw_team_share *share = Fw_TeamShare_Find(l, req->team);

    if (!share) {
        refuse_request(l, req, now_us, out);
        return;
    }
    if (req->n_peers == 0) {
        Fw_Ledger_Refresh(l, share->partition, now_us);
        Fw_Ledger_AddTeam(l, share, now_us);
        if (try_local(l, share, req, now_us, out)) {
            return;
        }
        if (!has_leader(l, share->partition) &&
            now_us < req->started_us + FW_LEADER_WAIT_US) {
            Fw_Actions_Wake(out, now_us + FW_PEER_TIMEOUT_US);
            return; /* no leader yet after a start of the fleet */
        }
        reserve_local(l, share, req, now_us);
        request_next_peer(l, req, now_us, out);
    }
    else if (now_us >= req->last_sent_us + FW_PEER_TIMEOUT_US) {
        request_next_peer(l, req, now_us, out);
    }
    else {
        Fw_Actions_Wake(out, req->last_sent_us + FW_PEER_TIMEOUT_US);
    }
}

void
Fw_Limit_Request(struct fw_limit *l, const struct fw_team *team,
                 uint64_t ticket, int64_t tokens, int64_t now_us,
                 struct fw_actions *out)
{
    struct fw_team_share *share = Fw_TeamShare_Get(l, team, now_us);
    struct fw_token_request *req = g_new0(struct fw_token_request, 1);

    l->n_requests.value++;
    share->demand_requests++;
    share->demand_tokens += MAX(tokens, 0);
    req->ticket = ticket;
    req->tokens = MAX(tokens, 0);
    req->started_us = now_us;
    g_strlcpy(req->team, team->name, sizeof(req->team));
    Fw_List_Append(&l->requests, &req->link);
    if (req->tokens > share->burst) {
        finish_request(l, req, 0, 0, now_us, out); /* can never be granted */
        return;
    }
    if (now_us < share->exhausted_until_us &&
        req->tokens >= share->exhausted_tokens) {
        /* Peers had too few tokens just now; only local ones can suffice. */
        if (!try_local(l, share, req, now_us, out)) {
            refuse_request(l, req, now_us, out);
        }
        return;
    }
    advance_request(l, req, now_us, out);
}

void
Fw_TokenRequest_Tick(struct fw_limit *l, int64_t now_us,
                     struct fw_actions *out)
{
    struct fw_list *pos;
    struct fw_list *tmp;

    FW_LIST_EACH_SAFE (pos, tmp, &l->requests) {
        struct fw_token_request *req =
            FW_LIST_ENTRY(pos, struct fw_token_request, link);
        if (req->cancelled) {
            req->cancelled = 0;
            req->free_us = now_us + FW_LATE_GRANT_US;
            return_collected(l, req, now_us, out);
        }
        else if (!req->done) {
            advance_request(l, req, now_us, out);
        }
        else if (now_us >= req->free_us) {
            Fw_List_Remove(&req->link);
            g_free(req);
        }
    }
}

static struct fw_token_request *
find_request(struct fw_limit *l, uint64_t seq, struct fw_peer_request **peer)
{
    struct fw_list *pos;

    FW_LIST_EACH (pos, &l->requests) {
        struct fw_token_request *req =
            FW_LIST_ENTRY(pos, struct fw_token_request, link);
        for (int i = 0; i < req->n_peers; i++) {
            if (req->peers[i].seq == seq) {
                *peer = &req->peers[i];
                return req;
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
    struct fw_token_request *req = find_request(l, msg->seq, &peer);
    struct fw_team_share *share;

    if (!req || peer->answered || strcmp(peer->name, from) != 0) {
        return; /* duplicate, or later than FW_LATE_GRANT_US */
    }
    peer->answered = 1;
    if (req->done || now_us >= req->first_sent_us + FW_REQUEST_TIMEOUT_US) {
        /* Too late to be spent before the peer's reservation expires. */
        if (msg->tokens > 0) {
            Fw_PeerGrant_SendReturn(l, from, req->team, msg->tokens, peer->seq,
                                    out);
        }
        return;
    }
    peer->tokens = MIN(msg->tokens, req->tokens - req->collected);
    req->collected += peer->tokens;
    share = Fw_TeamShare_Find(l, req->team);
    if (share && try_local(l, share, req, now_us, out)) {
        return;
    }
    request_next_peer(l, req, now_us, out);
}

void
Fw_Limit_Cancel(struct fw_limit *l, uint64_t ticket)
{
    struct fw_list *pos;

    FW_LIST_EACH (pos, &l->requests) {
        struct fw_token_request *req =
            FW_LIST_ENTRY(pos, struct fw_token_request, link);
        if (!req->done && req->ticket == ticket) {
            req->done = 1;
            req->cancelled = 1;
        }
    }
}
