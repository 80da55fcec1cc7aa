/*
 * Inside of the budgets: what is held here of each team, what was asked of
 * others, and, as a leader, what was given out.
 */
#ifndef FW_LIMIT_INTERNAL_H
#define FW_LIMIT_INTERNAL_H

#include "limit/bucket.h"
#include "limit/limit.h"

/* For the answer of one peer; from the first question to the use; for the
 * first leader ever; late answers are given back; after a refusal nobody is
 * asked for a while. */
#define FW_PEER_TIMEOUT_US (150 * FW_MSEC)
#define FW_REQUEST_TIMEOUT_US (450 * FW_MSEC)
#define FW_PEER_REQUESTS_MAX 4
/* Grants of more than this part of the burst are confirmed when spent; more
 * returned tokens than this are spread over the places. */
#define FW_LARGE_GRANT_DIVISOR 8
#define FW_LEADER_WAIT_US (3 * FW_SEC)
#define FW_LATE_GRANT_US (5 * FW_SEC)
#define FW_EXHAUSTED_MAX_US (100 * FW_MSEC)

#define FW_RENEW_INTERVAL_US (10 * FW_SEC)
#define FW_RENEW_TIMEOUT_US (2 * FW_SEC)
#define FW_RETURN_INTERVAL_US (1 * FW_SEC)
#define FW_NEW_TEAM_DELAY_US (30 * FW_SEC)
/* A lease of its own is worth while for as many requests in
 * FW_RENEW_INTERVAL_US, and only when its burst holds as many: small leases
 * strand tokens. */
#define FW_LEASE_REQUESTS_MIN 50
#define FW_LEASE_BURST_REQUESTS_MIN 8
/* A team's tokens are kept at its leader and as many followers, so that the
 * loss of one instance leaves three quarters of its rate. */
#define FW_FOLLOWERS_MAX 3

/**
 * struct fw_lease_grant - what a holder has of a team. The larger of what it
 * confirmed and what it was offered counts as given.
 * @holder: index into fw_limit_partition.holders
 * @wanted_rate: rate that it would use
 * @resend: it was cut there, and must be told its size again
 */
struct fw_lease_grant {
    int holder;
    int64_t rate;
    int64_t burst;
    int64_t offered_rate;
    int64_t offered_burst;
    int64_t offered_level; /* micro-tokens */
    int64_t wanted_rate;
    int resend;
};

/**
 * struct fw_team_share - one team as seen here.
 * @rate, @burst: of this region, by the configuration
 * @unleased: what is left of the team at its leader; usable as
 * fw_limit_partition.unleased_until_us
 * @leased: given by the leader; usable as fw_limit_partition.until
 * @unreturned: unused tokens to be returned to the leader
 * @demand_tokens, @demand_requests: tokens and requests since the last renewal
 * round
 * @wanted_rate: rate for which a lease of its own is asked
 * @ledger: the ledger that it stands in, see fw_limit_partition.ledger
 * @fitted_version: of the configuration that the own bucket was fitted to
 * @excess: micro-tokens that a smaller lease had no room for, for its leader
 * @grants: of the leader
 */
struct fw_team_share {
    char name[FW_NAME_MAX];
    int partition;
    uint64_t version;
    int64_t rate;
    int64_t burst;
    int removed;
    struct fw_bucket unleased;
    struct fw_bucket leased;
    int64_t unreturned;
    int64_t demand_tokens;
    int demand_requests;
    int64_t wanted_rate;
    int64_t excess;
    int scaled_down; /* cut here after the team's rate was lowered */
    int64_t exhausted_until_us;
    int64_t exhausted_tokens;
    uint64_t ledger;
    uint64_t fitted_version;
    GArray *grants; /* struct fw_lease_grant */
};

/**
 * struct fw_holder - of the leader: one process that holds leases.
 * @last_seq: older questions are void, also when they arrive late
 * @confirmed_seq: the last answer that it surely took in
 * @offered_seq: the last answer sent, taken in or not
 * @expires_us: by then all it holds has lapsed, whatever its clock
 */
struct fw_holder {
    char name[FW_NAME_MAX];
    uint64_t boot;
    uint64_t last_seq;
    uint64_t confirmed_seq;
    uint64_t offered_seq;
    int64_t expires_us;
    int is_follower;
};

/**
 * struct fw_limit_partition - one partition of the teams.
 * As a holder: @renew_seq of the last question, sent at @renew_sent_us to
 * @demand_tokens and
 * @renew_pending for its answer; @lease_seq is the last answer taken in, of
 * ledger
 * @lease_ledger; leases are usable until @expires_us. As a leader: @ledger
 * names the ledger, which goes over to a successor; 0 for none;
 * @ledger_since_us since when;
 * @teams_loaded when all its teams were seen;
 * @tenure of the role, see Fw_Roles_Tenure;
 * @unleased_until_us: own buckets are usable until then.
 * Taking over: @handover_seq is the question to the last leader @predecessor;
 * @predecessor_tenure its tenure once its ledger was received.
 * Leaving: @leaving; @successor by whom it was handed over; @handed_until_us
 * as unleased_until_us was.
 */
struct fw_limit_partition {
    uint64_t renew_seq;
    int renew_pending;
    int64_t renew_sent_us;
    int64_t next_renew_us;
    int reported_follower; /* as last said */
    uint64_t lease_seq;
    uint64_t lease_ledger;
    int64_t lease_until_us;
    char renew_leader[FW_NAME_MAX];
    GPtrArray *shares; /* of its teams, borrowed */
    uint64_t ledger;
    uint64_t tenure;
    int is_first;
    int teams_loaded;
    int64_t ledger_since_us;
    int64_t unleased_until_us;
    GArray *holders; /* struct fw_holder */
    uint64_t handover_seq;
    int64_t handover_sent_us;
    char predecessor[FW_NAME_MAX];
    uint64_t predecessor_tenure;
    int leaving;
    int64_t next_offer_us;
    char successor[FW_NAME_MAX];
    int64_t handed_until_us;
};

/** struct fw_peer_request - one peer asked; @answered: its tokens are counted.
 */
struct fw_peer_request {
    char peer[FW_NAME_MAX];
    uint64_t seq;
    int64_t tokens;
    int answered;
};

/**
 * struct fw_token_request - a question of this instance's own requests.
 * @collected: tokens put together so far, those from here included
 * @leased, @unleased: of them, taken from the buckets here
 * @done: answered; kept for a while to return what comes late

 */
struct fw_token_request {
    uint64_t ticket;
    char team[FW_NAME_MAX];
    int64_t tokens;
    int64_t collected;
    int64_t leased;
    int64_t unleased;
    int64_t started_us;
    int64_t first_sent_us;
    int64_t last_sent_us;
    int n_peers;
    struct fw_peer_request peers[FW_PEER_REQUESTS_MAX];
    int done;
    int cancelled;

    int64_t free_us;
    struct fw_list link;
};

/** struct fw_token_split - tokens from each bucket. */
struct fw_token_split {
    int64_t leased;
    int64_t unleased;
};

/** struct fw_peer_grant - tokens granted to a peer within FW_RESERVATION_US.
 */
struct fw_peer_grant {
    char peer[FW_NAME_MAX];
    uint64_t seq;
    char team[FW_NAME_MAX];
    struct fw_token_split split;
    int64_t granted_us;
};

/** struct fw_return_sender - returns of one peer process seen so far. */
struct fw_return_sender {
    uint64_t boot;
    uint64_t seq;
};

struct fw_limit {
    struct fw_self self;
    const struct fw_fleet *fleet;
    const struct fw_roles *roles;
    GRand *rand;
    GHashTable *shares; /* team to struct fw_team_share */
    int n_partitions;
    struct fw_limit_partition *partitions;
    struct fw_list requests;
    GQueue results;
    GQueue peer_grants;  /* struct fw_peer_grant, the oldest first */
    GHashTable *senders; /* peer to struct fw_return_sender */
    uint64_t seq;
    uint64_t cfg_offset;
    int cfg_applied;
    int64_t next_demand_us;
    int64_t next_return_us;
    int64_t lease_us; /* life of a lease */
    int draining;
    struct fw_metric n_requests;
    struct fw_metric n_granted;
    struct fw_metric n_refused;
    struct fw_metric n_unreachable;
    struct fw_metric n_leased;
    struct fw_metric n_unled;
    struct fw_metric n_sent;
    struct fw_metric n_returned;
};

/* The team's share here, made when missing; of no rate until a
 * configuration names the team. */
struct fw_team_share *
Fw_TeamShare_FindOrAdd(struct fw_limit *l, const char *team, int64_t now_us);
struct fw_team_share *
Fw_TeamShare_Get(struct fw_limit *l, const struct fw_team *team,
                 int64_t now_us);
struct fw_team_share *
Fw_TeamShare_Find(const struct fw_limit *l, const char *team);
/* Which of its buckets may be used; @margin_us before their end not. */
int
Fw_TeamShare_UnleasedUsable(const struct fw_limit *l,
                            const struct fw_team_share *s, int64_t margin_us,
                            int64_t now_us);
int
Fw_TeamShare_LeaseUsable(const struct fw_limit *l,
                         const struct fw_team_share *s, int64_t margin_us,
                         int64_t now_us);
/* Takes and puts over both buckets; tokens. */
struct fw_token_split
Fw_TeamShare_Take(struct fw_limit *l, struct fw_team_share *s, int64_t tokens,
                  int flight, int64_t now_us);
int64_t
Fw_TeamShare_Put(struct fw_limit *l, struct fw_team_share *s, int64_t tokens,
                 int64_t now_us);
void
Fw_TeamShare_Free(gpointer share);

static inline int64_t
Fw_Lease_GivenRate(const struct fw_lease_grant *g)
{
    return MAX(g->rate, g->offered_rate);
}

static inline int64_t
Fw_Lease_GivenBurst(const struct fw_lease_grant *g)
{
    return MAX(g->burst, g->offered_burst);
}

/* What a lease given now may last at most by the clock here. */
int64_t
Fw_Ledger_MaxLeaseUs(const struct fw_limit *l);
/* The holder of this index has nothing any more. */
void
Fw_Ledger_ClearGrants(struct fw_limit *l, struct fw_limit_partition *p,
                      int holder, int64_t now_us);
/* Nonzero while this instance may grant leases of @partition. */
int
Fw_Ledger_MayGrant(struct fw_limit *l, int partition, int64_t now_us);
/* Begins, extends or ends leading, and forgets what has lapsed. */
void
Fw_Ledger_Refresh(struct fw_limit *l, int partition, int64_t now_us);
/* Fits the own bucket to what is not given out. */
void
Fw_Ledger_ResizeUnleased(struct fw_limit *l, struct fw_team_share *s,
                         int64_t now_us);
void
Fw_Ledger_OnRenew(struct fw_limit *l, const char *from,
                  const struct fw_limit_msg *msg, int64_t now_us,
                  struct fw_actions *out);
void
Fw_Ledger_AddTeam(struct fw_limit *l, struct fw_team_share *s, int64_t now_us);

/* The leader of @partition by the log (@place 0), or one of its followers (up
 * to FW_FOLLOWERS_MAX); NULL when there is none. */
const struct fw_member *
Fw_Limit_Replica(const struct fw_limit *l, int partition, int place);

/* The holder's side of leases. */
void
Fw_Lease_Tick(struct fw_limit *l, int64_t now_us, struct fw_actions *out);
void
Fw_Lease_OnLease(struct fw_limit *l, const char *from,
                 const struct fw_config *cfg, const struct fw_limit_msg *msg,
                 int64_t now_us);
/* Gives all leases of @partition back to its leader. */
void
Fw_Lease_Release(struct fw_limit *l, int partition, int64_t now_us,
                 struct fw_actions *out);

/* Handover from a leaving leader to its successor. */
void
Fw_Handover_Tick(struct fw_limit *l, int64_t now_us, struct fw_actions *out);
void
Fw_Handover_OnOffer(struct fw_limit *l, const char *from,
                    const struct fw_limit_msg *msg, int64_t now_us,
                    struct fw_actions *out);
void
Fw_Handover_OnPull(struct fw_limit *l, const char *from,
                   const struct fw_limit_msg *msg, int64_t now_us,
                   struct fw_actions *out);
void
Fw_Handover_OnHandover(struct fw_limit *l, const char *from,
                       const struct fw_limit_msg *msg, int64_t now_us);

/* Questions for tokens and returns; @demand_tokens: of a question that failed,
 * its number, 0 for a request that ended. */
void
Fw_TokenRequest_Tick(struct fw_limit *l, int64_t now_us,
                     struct fw_actions *out);
void
Fw_TokenRequest_OnGrant(struct fw_limit *l, const char *from,
                        const struct fw_limit_msg *msg, int64_t now_us,
                        struct fw_actions *out);
void
Fw_PeerGrant_OnRequest(struct fw_limit *l, const char *from,
                       const struct fw_limit_msg *msg, int64_t now_us,
                       struct fw_actions *out);
void
Fw_PeerGrant_OnReturn(struct fw_limit *l, const char *from,
                      const struct fw_limit_msg *msg, int64_t now_us);
void
Fw_PeerGrant_SendReturn(struct fw_limit *l, const char *to, const char *team,
                        int64_t tokens, uint64_t asked,
                        struct fw_actions *out);

/* Sends @msg, which is moved, to @to; nothing when it is not known. */
void
Fw_Limit_Send(struct fw_limit *l, const char *to, struct fw_limit_msg *msg,
              struct fw_actions *out);

#endif
