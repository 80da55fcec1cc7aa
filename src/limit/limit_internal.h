/*
 * Internal declarations of the limiter.
 *
 * Teams are hashed to partitions. The leader of a partition, the holder of its
 * FW_ROLE_BUDGET role, leases parts of the teams' rates and bursts to other
 * instances, the lease holders, and keeps a ledger of the leases. The rest,
 * unleased, it grants itself. The partition's followers, the next instances by
 * rendezvous hash, hold leases even without demand; instances that lack tokens
 * request them from the leader and the followers.
 */
#ifndef FW_LIMIT_INTERNAL_H
#define FW_LIMIT_INTERNAL_H

#include "limit/bucket.h"
#include "limit/limit.h"

/* Longest wait for the grant of one peer, and longest time from the first
 * request to a peer until the tokens are spent. */
#define FW_PEER_TIMEOUT_US (150 * FW_MSEC)
#define FW_REQUEST_TIMEOUT_US (450 * FW_MSEC)
#define FW_PEER_REQUESTS_MAX 4
/* A grant above this part of the burst is confirmed when spent; unused tokens
 * above it are returned to the leader and all followers instead of one. */
#define FW_LARGE_GRANT_DIVISOR 8
/* Requests wait this long for a partition that has no leader. */
#define FW_LEADER_WAIT_US (3 * FW_SEC)
/* Finished requests are kept this long to return grants that arrive late. */
#define FW_LATE_GRANT_US (5 * FW_SEC)
/* After a refusal, peers aren't asked for as many tokens for at most this
 * long. */
#define FW_EXHAUSTED_MAX_US (100 * FW_MSEC)

#define FW_RENEW_INTERVAL_US (10 * FW_SEC)
#define FW_RENEW_TIMEOUT_US (2 * FW_SEC)
/* Period of returning unused tokens. */
#define FW_RETURN_INTERVAL_US (1 * FW_SEC)
/* A team added to a ledger this long after its start gets a full bucket. */
#define FW_NEW_TEAM_DELAY_US (30 * FW_SEC)
/* An instance wants a lease of a team with at least this many requests per
 * FW_RENEW_INTERVAL_US, if the lease's burst would hold this many requests:
 * tokens of small leases are stranded. */
#define FW_LEASE_REQUESTS_MIN 50
#define FW_LEASE_BURST_REQUESTS_MIN 8
/* The leader and its followers hold equal parts of a team's tokens, so that
 * losing one instance leaves three quarters of the rate. */
#define FW_FOLLOWERS_MAX 3

/**
 * struct fw_lease_grant - in the ledger, one holder's lease of a team.
 * @holder: index into fw_limit_partition.holders
 * @rate, @burst: size confirmed by the holder
 * @offered_rate, @offered_burst: size offered to it last; equal to the
 *                                confirmed one when no offer is open
 * @offered_level: micro-tokens taken from the unleased bucket for the offer
 * @wanted_rate: rate that the holder would use
 * @resend: the holder scaled its lease down and needs the size sent again
 *
 * Until an offer is confirmed, the larger of both sizes counts as granted.
 */
struct fw_lease_grant {
    int holder;
    int64_t rate;
    int64_t burst;
    int64_t offered_rate;
    int64_t offered_burst;
    int64_t offered_level;
    int64_t wanted_rate;
    int resend;
};

/**
 * struct fw_team_share - one team's tokens on this instance.
 * @version: of the team's configuration that was applied
 * @rate, @burst: of the team in this region; tokens per second and tokens
 * @removed: not in the configuration
 * @unleased: on the leader, what is not leased out; usable until
 *            fw_limit_partition.unleased_until_us
 * @leased: leased from the leader; usable until
 *          fw_limit_partition.lease_until_us
 * @unreturned: unused tokens still to be returned to other instances
 * @demand_tokens, @demand_requests: requested in the current renewal interval
 * @wanted_rate: rate of the lease to request, 0 for none
 * @excess: micro-tokens above the burst of a reduced lease, to be given back
 *          to the leader
 * @scaled_down: reduced here since the team's rate or burst was lowered, and
 *               not confirmed by the leader yet
 * @exhausted_until_us: until then requests of @exhausted_tokens or more are
 *                      refused without asking peers
 * @ledger: ledger that the share is part of, see fw_limit_partition
 * @fitted_version: @version for which @unleased was last resized
 * @grants: on the leader, the leases of the team
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
    int scaled_down;
    int64_t exhausted_until_us;
    int64_t exhausted_tokens;
    uint64_t ledger;
    uint64_t fitted_version;
    GArray *grants; /* struct fw_lease_grant */
};

/**
 * struct fw_holder - in the ledger, a process that holds leases.
 * @last_seq: of its last renewal; renewals up to it are ignored as duplicates
 * @confirmed_seq: of the last lease update that it confirmed
 * @offered_seq: of the last lease update sent to it, confirmed or not
 * @expires_us: when all its leases have expired by any clock within drift
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
 * @shares: of its teams, borrowed
 *
 * As lease holder:
 * @renew_seq: of the last renewal, sent at @renew_sent_us to @renew_leader
 * @renew_pending: its answer is awaited
 * @next_renew_us: when the next renewal is sent
 * @reported_follower: nonzero if that renewal was sent as a follower
 * @lease_seq: of the last lease update applied, 0 when no lease is held
 * @lease_ledger: ledger of these leases
 * @lease_until_us: when these leases expire
 *
 * As leader:
 * @ledger: tenure of the leader that started the ledger, kept through
 *          handovers; 0 when there is none
 * @tenure: of this instance's leadership, see Fw_Roles_Tenure
 * @is_first: nobody led the partition before
 * @teams_loaded: all teams of the configuration were added to the ledger
 * @ledger_since_us: when the ledger was started or received
 * @unleased_until_us: unleased buckets are usable until then
 *
 * Taking over:
 * @handover_seq: of the handover request sent at @handover_sent_us to
 *                @predecessor, 0 when none is open
 * @predecessor_tenure: tenure of the leader that the ledger came from, 0 for a
 *                      ledger started here
 *
 * Handing over:
 * @leaving: this instance drains and hands its ledger over
 * @next_offer_us: when the next offer is sent
 * @successor: instance that the ledger was handed to, empty for none
 * @handed_until_us: unleased_until_us at that time
 */
struct fw_limit_partition {
    uint64_t renew_seq;
    int renew_pending;
    int64_t renew_sent_us;
    int64_t next_renew_us;
    int reported_follower;
    uint64_t lease_seq;
    uint64_t lease_ledger;
    int64_t lease_until_us;
    char renew_leader[FW_NAME_MAX];
    GPtrArray *shares;
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

/**
 * struct fw_peer_request - tokens requested from one peer.
 * @tokens: granted and to be returned if the whole request fails
 * @answered: the peer's grant has arrived
 */
struct fw_peer_request {
    char name[FW_NAME_MAX];
    uint64_t seq;
    int64_t tokens;
    int answered;
};

/**
 * struct fw_token_request - a request of this instance for tokens.
 * @collected: tokens obtained so far, from peers and local buckets
 * @leased, @unleased: tokens reserved in the local buckets
 * @first_sent_us, @last_sent_us: when the first and the last peer was asked
 * @done: its answer is decided; kept until @free_us to return late grants
 * @cancelled: collected tokens are returned in the next tick
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

/** struct fw_token_split - tokens taken from each bucket of a share. */
struct fw_token_split {
    int64_t leased;
    int64_t unleased;
};

/**
 * struct fw_peer_grant - a grant to a peer, kept for FW_RESERVATION_US.
 * @seq: of the peer's request
 * @split: buckets it was taken from; zero once returned or confirmed
 */
struct fw_peer_grant {
    char peer[FW_NAME_MAX];
    uint64_t seq;
    char team[FW_NAME_MAX];
    struct fw_token_split split;
    int64_t granted_us;
};

/**
 * struct fw_return_sender - last return received from a peer.
 * @boot: of the sending process
 * @seq: of the return; later ones have a larger one
 */
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
    struct fw_list requests; /* struct fw_token_request */
    GQueue answers;          /* struct fw_limit_answer */
    GQueue peer_grants;      /* struct fw_peer_grant, the oldest first */
    GHashTable *senders;     /* peer to struct fw_return_sender */
    uint64_t seq;
    uint64_t cfg_offset; /* of the configuration applied last */
    int cfg_applied;
    int64_t next_demand_us; /* when demand is evaluated next */
    int64_t next_return_us; /* when unused tokens are returned next */
    int64_t lease_us;       /* duration of a lease */
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

/* Return: the team's share, added with a rate of 0 when there is none. */
struct fw_team_share *
Fw_TeamShare_FindOrAdd(struct fw_limit *l, const char *team, int64_t now_us);
/* As Fw_TeamShare_FindOrAdd, with the configuration of @team applied. */
struct fw_team_share *
Fw_TeamShare_Get(struct fw_limit *l, const struct fw_team *team,
                 int64_t now_us);
/* Return: the team's share or NULL. */
struct fw_team_share *
Fw_TeamShare_Find(const struct fw_limit *l, const char *team);
/* Whether the share's unleased or leased bucket is usable for @margin_us more.
 */
int
Fw_TeamShare_UnleasedUsable(const struct fw_limit *l,
                            const struct fw_team_share *share,
                            int64_t margin_us, int64_t now_us);
int
Fw_TeamShare_LeaseUsable(const struct fw_limit *l,
                         const struct fw_team_share *share, int64_t margin_us,
                         int64_t now_us);
/* Takes up to @tokens from the usable buckets, kept reserved if @reserve is
 * nonzero. */
struct fw_token_split
Fw_TeamShare_Take(struct fw_limit *l, struct fw_team_share *share,
                  int64_t tokens, int reserve, int64_t now_us);
/* Puts up to @tokens into the usable buckets. Return: tokens that fitted. */
int64_t
Fw_TeamShare_Put(struct fw_limit *l, struct fw_team_share *share,
                 int64_t tokens, int64_t now_us);
void
Fw_TeamShare_Free(gpointer data);

static inline int64_t
Fw_Lease_GrantedRate(const struct fw_lease_grant *g)
{
    return MAX(g->rate, g->offered_rate);
}

static inline int64_t
Fw_Lease_GrantedBurst(const struct fw_lease_grant *g)
{
    return MAX(g->burst, g->offered_burst);
}

/* Longest time, by the local clock, in which tokens of a lease granted now may
 * be spent. */
int64_t
Fw_Ledger_MaxLeaseUs(const struct fw_limit *l);
/* Removes all lease grants of the holder with this index. */
void
Fw_Ledger_ClearGrants(struct fw_limit *l, struct fw_limit_partition *p,
                      int holder, int64_t now_us);
/* Nonzero while this instance may grant leases of @partition. */
int
Fw_Ledger_MayGrant(struct fw_limit *l, int partition, int64_t now_us);
/* Starts a ledger, extends the use of unleased buckets or ends the ledger, as
 * the role says, and removes holders whose leases expired. */
void
Fw_Ledger_Refresh(struct fw_limit *l, int partition, int64_t now_us);
/* Resizes the unleased bucket to the part of the team that isn't granted. */
void
Fw_Ledger_ResizeUnleased(struct fw_limit *l, struct fw_team_share *share,
                         int64_t now_us);
void
Fw_Ledger_OnRenew(struct fw_limit *l, const char *from,
                  const struct fw_limit_msg *msg, int64_t now_us,
                  struct fw_actions *out);
/* Adds the team to its partition's ledger or applies its new configuration.
 */
void
Fw_Ledger_AddTeam(struct fw_limit *l, struct fw_team_share *share,
                  int64_t now_us);

/* Return: the leader of @partition (@index 0) or a follower (@index from 1 to
 * FW_FOLLOWERS_MAX), NULL when there is none. */
const struct fw_member *
Fw_Limit_LeaderOrFollower(const struct fw_limit *l, int partition, int index);

/* Leases, on the holder. */
void
Fw_Lease_Tick(struct fw_limit *l, int64_t now_us, struct fw_actions *out);
void
Fw_Lease_OnUpdate(struct fw_limit *l, const char *from,
                  const struct fw_config *cfg, const struct fw_limit_msg *msg,
                  int64_t now_us);
/* Returns all leases of @partition to its leader. */
void
Fw_Lease_Release(struct fw_limit *l, int partition, int64_t now_us,
                 struct fw_actions *out);

/* Handover of the ledger from a draining leader to its successor. */
void
Fw_Handover_Tick(struct fw_limit *l, int64_t now_us, struct fw_actions *out);
void
Fw_Handover_OnOffer(struct fw_limit *l, const char *from,
                    const struct fw_limit_msg *msg, int64_t now_us,
                    struct fw_actions *out);
void
Fw_Handover_OnRequest(struct fw_limit *l, const char *from,
                      const struct fw_limit_msg *msg, int64_t now_us,
                      struct fw_actions *out);
void
Fw_Handover_OnHandover(struct fw_limit *l, const char *from,
                       const struct fw_limit_msg *msg, int64_t now_us);

/* Requests of this instance, and grants to peers. */
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
/* Returns @tokens to @to. @request_seq: of the request that they were granted
 * for, 0 for tokens of a finished request; with 0 @tokens, confirms the grant
 * as spent. */
void
Fw_PeerGrant_SendReturn(struct fw_limit *l, const char *to, const char *team,
                        int64_t tokens, uint64_t request_seq,
                        struct fw_actions *out);

/* Sends @msg to @to and takes ownership of it. Dropped when @to is unknown or
 * this instance. */
void
Fw_Limit_Send(struct fw_limit *l, const char *to, struct fw_limit_msg *msg,
              struct fw_actions *out);

#endif
