/* Servers: their state, whether they may be used, and choosing one. */
#ifndef FW_RELAY_SERVERS_H
#define FW_RELAY_SERVERS_H

#include "decide/cold.h"
#include "decide/send_window.h"
#include "decide/server_limit.h"
#include "decide/server_rest.h"
#include "relay/relay.h"

/*
 * Time after the store's recovery during which unlisted servers are kept, so
 * that live ones can renew their entries. See servers.c.
 */
#define FW_RL_RELIST_GRACE_US (2200 * FW_MSEC)
/*
 * A store that was missed for less has only been late, or has closed a
 * connection. An entry lapses after three missed heartbeats, of which one may
 * be due just before the outage is noticed.
 */
#define FW_RL_OUTAGE_MIN_US (500 * FW_MSEC)

/* The longest backoff of a server that could not be reached. */
#define FW_RL_BACKOFF_MAX_US (2800 * FW_MSEC)

struct fw_rl_call;
struct fw_rl_load;
struct fw_rl_pool;
struct fw_rl_stage_links;

/**
 * struct fw_rl_server - one process of a server, until it ends.
 * @hash: hash of its id
 * @refs: references; freed when removed from the list and unreferenced
 * @gone: removed from the list
 * @listed: named since the current listing began
 * @removal_us: time to remove it unless it is listed again; 0 for none
 * @is_presumed_gone: it is unlisted, and few others are
 * @left_us: since when this instance knows that it is leaving or gone, 0 if it
 *     is not
 * @running: requests of this instance there
 * @kv_tokens: expected KV cache use of these, tokens
 * @prefill_tokens: prompt tokens sent there by this instance that have not
 *     been prefilled yet
 * @full_us: when it last rejected a reservation or a prefill
 * @full_tokens: expected use of the request that it rejected then; 0 for a
 *     prefill
 * @backoff_until_us: not chosen before this time
 * @consecutive_backoffs: backoffs since its last response
 * @unconnected_us: when a connection to it was last not established, 0 for
 *     never
 * @stage_links: the links to the servers of its service at its stage
 * @timeouts: calls that timed out since its last response
 * @rejected_runs: runs with a reservation rejected since one was accepted
 * @error_rate: moving mean of the share of failures among its responses
 * @latency_us: moving mean of its response time, 0 if unknown
 * @service_us: moving mean of its response time for requests that found a
 *     free slot, 0 if unknown
 * @target_stage: stage that it is changing to until @stage_change_until_us
 * @stage_change_until_us: latest end of the stage change
 * @is_unsent: requests were placed there since its load was last sent to
 *     other instances
 * @active_link: in the list of active servers if @is_active
 * @is_active: may have load, or a state that other instances are sent
 * @list_hash: hash of the entry's parts that Fw_StoreSync_ServerListHash sums
 * @is_evacuated: its failure domain is evacuated
 * @cold_until_us: it is, or may be, cold before this time
 * @sends: requests that this instance has sent there
 * @rest: rest that it has asked this instance for
 * @is_leaving: one of its responses said that it is about to shut down
 * @limit: rate that it takes from all instances together
 * @limit_since_us: since when it has named a limit
 * @limit_changed_us: when @limit last changed, or another instance had an
 *     outdated one
 * @limit_share: requests that this instance may send within
 *     FW_LIMIT_WINDOW_US while a limit is in force
 * @limit_share_us: when @limit_share was last set
 * @logged_limit: the limit that was last logged
 * @limit_link: in the list of limited servers if @is_limit_listed
 * @speed: of its use, relative to the mean of its service; 1 if unknown, or
 *     if speeds are not in force there
 * @logged_speed: the speed that was last logged
 * @speed_logged_us: when that was, 0 for never
 */
struct fw_rl_server {
    struct fw_list link;
    struct fw_rl_server_entry entry;
    uint64_t hash;
    int refs;
    int gone;
    int listed;
    int64_t removal_us;
    int is_presumed_gone;
    int64_t left_us;
    int running;
    int64_t kv_tokens;
    int64_t prefill_tokens;
    int64_t full_us;
    int64_t full_tokens;
    int64_t backoff_until_us;
    int consecutive_backoffs;
    int64_t unconnected_us;
    struct fw_rl_stage_links *stage_links;
    int timeouts;
    int rejected_runs;
    double error_rate;
    double latency_us;
    double service_us;
    enum fw_rl_stage target_stage;
    int64_t stage_change_until_us;
    int is_unsent;
    struct fw_list active_link;
    int is_active;
    uint64_t list_hash;
    int is_evacuated;
    int64_t cold_until_us;
    struct fw_send_window sends;
    struct fw_server_rest rest;
    int is_leaving;
    struct fw_server_limit limit;
    int64_t limit_since_us;
    int64_t limit_changed_us;
    int limit_share;
    int64_t limit_share_us;
    int64_t logged_limit;
    struct fw_list limit_link;
    int is_limit_listed;
    double speed;
    double logged_speed;
    int64_t speed_logged_us;
};

/* servers.c */
/* The server rejected a run that had a reservation there. */
void
Fw_Servers_NoteRejectedRun(struct fw_rl_server *s, int64_t now_us);
/* The server accepted a call and did not answer in time. */
void
Fw_Servers_NoteTimeout(struct fw_rl_server *s, int64_t now_us);
struct fw_rl_server *
Fw_Servers_Find(const struct fw_relay *r, const char *id);
/* @hash: of the server's id */
struct fw_rl_server *
Fw_Servers_FindByHash(const struct fw_relay *r, uint64_t hash);
/* @hash: lower half of the hash of the server's id */
struct fw_rl_server *
Fw_Servers_FindByShortHash(const struct fw_relay *r, uint32_t hash);
/* Adds the server to the active ones: its load or state may change. */
void
Fw_Servers_Activate(struct fw_relay *r, struct fw_rl_server *s);
/* Removes the server from the active ones if nothing is to be sent of it. */
void
Fw_Servers_DeactivateIdle(struct fw_rl_server *s, int64_t now_us);
struct fw_rl_server *
Fw_Servers_Ref(struct fw_rl_server *s);
void
Fw_Servers_Unref(struct fw_rl_server *s);
/* Whether the server is listed, does not leave and is not evacuated. */
int
Fw_Servers_IsInService(const struct fw_rl_server *s);
/* Whether new requests may be sent to the server. */
int
Fw_Servers_IsUsable(const struct fw_rl_server *s, int64_t now_us);
/* Whether the server is changing its stage. */
int
Fw_Servers_IsChangingStage(const struct fw_rl_server *s, int64_t now_us);
/* This instance knows from now on that the server is leaving or gone. */
void
Fw_Servers_NoteLeft(struct fw_rl_server *s, int64_t now_us);
/* Whether the server is to be removed unless it is listed again. */
int
Fw_Servers_IsUnlisted(const struct fw_rl_server *s);
/*
 * The unlisted server is removed then unless it is listed again, 0: it is
 * listed, or removed. Until then it is used, unless few others are unlisted.
 */
void
Fw_Servers_SetRemoval(struct fw_relay *r, struct fw_rl_server *s,
                      int64_t removal_us, int64_t now_us);
/*
 * Whether it has been leaving, or gone, for so long that not even the run of a
 * request with a reservation may be sent to it.
 */
int
Fw_Servers_HasLeft(const struct fw_rl_server *s, int64_t now_us);
/* The server has said that it is about to shut down: for its lifetime. */
void
Fw_Servers_NoteLeaving(struct fw_relay *r, struct fw_rl_server *s,
                       int64_t now_us, struct fw_rl_actions *out);
/* Starts a backoff, longer each time until the server responds. */
void
Fw_Servers_NoteUnreachable(struct fw_rl_server *s, int64_t now_us);
/*
 * The server has responded.
 * @failed: the response was a failure
 * @latency_us: response time, -1 to leave the mean as it is
 */
void
Fw_Servers_NoteResponse(struct fw_rl_server *s, int failed,
                        int64_t latency_us);
/* The server has responded to a request that found a free slot there. */
void
Fw_Servers_NoteServiceTime(struct fw_rl_server *s, int64_t took_us);
/* Removes unlisted servers whose grace period is over. */
void
Fw_Servers_Tick(struct fw_relay *r, int64_t now_us, struct fw_rl_actions *out);
void
Fw_Servers_Clear(struct fw_relay *r);

/* evacuation.c */
/* Frees one of the records in @evacuations of struct fw_relay. */
void
Fw_Evacuation_Free(gpointer evacuation);
/* Whether the failure domain is evacuated. */
int
Fw_Evacuation_IsActive(const struct fw_relay *r, const char *domain);

/* cold.c */
/*
 * Treats the server as cold until its registration certainly says whether it
 * is.
 */
void
Fw_Cold_Assume(const struct fw_relay *r, struct fw_rl_server *s,
               int64_t now_us);
/* Takes over from the server's entry how long it is cold. */
void
Fw_Cold_ApplyEntry(struct fw_rl_server *s, int64_t now_us);
/*
 * Whether @n requests may be sent to the server without exceeding the limit of
 * a cold one.
 */
int
Fw_Cold_MaySend(struct fw_relay *r, const struct fw_rl_server *s, int n,
                int64_t now_us);

/* server_limits.c */
/* A response to this instance named @milli, FW_NO_LIMIT for none. */
void
Fw_ServerLimits_Note(struct fw_relay *r, struct fw_rl_server *s, int64_t milli,
                     int64_t now_us);
/* Another instance believes @milli at @version. */
void
Fw_ServerLimits_Merge(struct fw_relay *r, struct fw_rl_server *s,
                      int64_t milli, int64_t version, int64_t now_us);
/* Requests that an instance may send within FW_LIMIT_WINDOW_US. */
int
Fw_ServerLimits_ShareOf(const struct fw_relay *r, const struct fw_rl_server *s,
                        uint64_t instance);
/* Sets this instance's share, which its hub has computed. */
void
Fw_ServerLimits_SetShare(struct fw_rl_server *s, int share, int64_t now_us);
/* Whether @n requests may be sent without exceeding this instance's share. */
int
Fw_ServerLimits_MaySend(struct fw_relay *r, struct fw_rl_server *s, int n,
                        int64_t now_us);
/* Whether one that was committed before may be sent. */
int
Fw_ServerLimits_MayFollow(struct fw_relay *r, struct fw_rl_server *s,
                          int64_t now_us);
/* When @n may be sent, INT64_MAX if this instance has no share. */
int64_t
Fw_ServerLimits_AvailableUs(struct fw_relay *r, struct fw_rl_server *s, int n,
                            int64_t now_us);
void
Fw_ServerLimits_Tick(struct fw_relay *r, struct fw_rl_actions *out);
/* Removes the server from the limited ones. */
void
Fw_ServerLimits_Remove(struct fw_rl_server *s);

/* admission.c */
/* A reservation, and the run or the release that follows it. */
#define FW_RL_REQUESTS_PER_RESERVATION 2
/* Whether @n new requests may be sent to the server. */
int
Fw_Admission_MaySend(struct fw_relay *r, struct fw_rl_server *s, int n,
                     int64_t now_us);
/*
 * Whether the run that follows a reservation may be sent, or the release of
 * what was reserved or prefilled there.
 */
int
Fw_Admission_MayFollow(struct fw_relay *r, struct fw_rl_server *s,
                       int64_t now_us);
/*
 * Earliest time at which the server's limit and its rest let @n new requests
 * pass, INT64_MAX if there is none; 0 if it is out of service or cold.
 */
int64_t
Fw_Admission_AvailableUs(struct fw_relay *r, struct fw_rl_server *s, int n,
                         int64_t now_us);
/* Whether the server names a limit, or is at rest. */
int
Fw_Admission_IsLimited(const struct fw_rl_server *s, int64_t now_us);
/* A request is being sent to the server. */
void
Fw_Admission_NoteSent(struct fw_rl_server *s, int64_t now_us);
/* @c requests a reservation of its server, which will run it or release it. */
void
Fw_Admission_NoteReserving(struct fw_rl_call *c);
/* The run or the release is being sent, or neither will be. */
void
Fw_Admission_EndReservation(struct fw_rl_call *c);

/* place.c */
/* Whether @s can decode streams, now or after its present ones. */
int
Fw_Place_CanDecode(const struct fw_rl_server *s, int64_t now_us);
/* Whether a slot is free there, by the load @l of all instances. */
int
Fw_Place_MayDecodeMore(const struct fw_rl_server *s,
                       const struct fw_rl_load *l,
                       const struct fw_rl_engine_spec *spec);
/* Score under the random and least-loaded policies; lower is better. */
double
Fw_Place_BaselineScore(struct fw_relay *r, int running);
/* Whether @s runs the service of @c in a region that @c may use. */
int
Fw_Place_MayRun(const struct fw_relay *r, const struct fw_rl_server *s,
                const struct fw_rl_call *c);
/* Chooses the server for the plain request @c; NULL if there is none. */
struct fw_rl_server *
Fw_Place_Plain(struct fw_relay *r, const struct fw_rl_call *c, int64_t now_us);
/*
 * Earliest time at which the limit and the rest of a server other than a
 * prefill engine let @n requests of @c pass. INT64_MAX if this instance has no
 * share of any limit, 0 if all servers are out of service or cold.
 */
int64_t
Fw_Place_AvailableUs(struct fw_relay *r, const struct fw_rl_call *c, int n,
                     int64_t now_us);
/*
 * Whether @c would miss its objective in the queue of @s. Near the limit the
 * result is random, with a probability that grows with the load.
 */
int
Fw_Place_IsOverloaded(struct fw_relay *r, const struct fw_rl_call *c,
                      const struct fw_rl_server *s, int64_t now_us);
/* Chooses a decode engine with enough free memory for @c, or NULL. */
struct fw_rl_server *
Fw_Place_Decode(struct fw_relay *r, const struct fw_rl_call *c,
                int64_t now_us);
/*
 * Whether @c may be sent to any decode engine, even if it has no memory free
 * now: one that it has not tried and that has no backoff.
 */
int
Fw_Place_MayReachDecode(const struct fw_relay *r, const struct fw_rl_call *c,
                        int64_t now_us);
/*
 * Chooses a prefill engine for @c's prompt, or NULL.
 * @wait_us: receives the predicted time until the prompt is prefilled
 */
struct fw_rl_server *
Fw_Place_Prefill(struct fw_relay *r, const struct fw_rl_call *c,
                 int64_t now_us, int64_t *wait_us);
/*
 * The engines of @c's service that @c may use. One that has rejected a
 * reservation within a digest period counts as full, whatever is known of it.
 * @unit: tokens that a usual request needs; what is left of an engine's memory
 *     beyond a multiple of it is not counted
 */
void
Fw_Place_Pool(struct fw_relay *r, const struct fw_rl_call *c, double unit,
              int64_t now_us, struct fw_rl_pool *out);
/* Whether @c has room at the engine of @other once @other has left it. */
int
Fw_Place_FitsInstead(struct fw_relay *r, const struct fw_rl_call *other,
                     const struct fw_rl_call *c, int64_t now_us);
/* Load at @s of all instances together. */
void
Fw_Place_Load(const struct fw_relay *r, const struct fw_rl_server *s,
              int64_t now_us, struct fw_rl_load *out);
/* Whether @c must avoid @s, which it has tried before. */
int
Fw_Call_HasTried(const struct fw_rl_call *c, const struct fw_rl_server *s);

#endif
