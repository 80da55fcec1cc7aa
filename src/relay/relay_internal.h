/* Internal interfaces of src/relay. */
#ifndef FW_RELAY_INTERNAL_H
#define FW_RELAY_INTERNAL_H

#include <msgpack.h>
#include <syslog.h>

#include "decide/cold.h"
#include "decide/service_stats.h"
#include "relay/peers.h"
#include "relay/relay.h"
#include "route/queue.h"

/* Maximum number of servers that one request may try. */
#define FW_RL_TRIED_MAX 6
/*
 * Maximum idle time of a connection reused for a request that must not be
 * retried: if the connection has died meanwhile, the request is lost with it.
 */
#define FW_RL_REUSE_NON_IDEMPOTENT_US (1 * FW_SEC)
/* Maximum idle time of a connection reused for any other request. */
#define FW_RL_REUSE_US (60 * FW_SEC)
/* A server that does not accept a connection in time is unreachable. */
#define FW_RL_CONNECT_TIMEOUT_US (250 * FW_MSEC)
/* Timeout for releasing a reservation or KV cache, which expire anyway. */
#define FW_RL_RELEASE_TIMEOUT_US (1 * FW_SEC)
/*
 * Time after the store's recovery during which unlisted servers are kept, so
 * that live ones can renew their entries. See servers.c.
 */
#define FW_RL_RELIST_GRACE_US (2200 * FW_MSEC)
/* An instance without messages from any peer for this long is isolated. */
#define FW_RL_ISOLATION_TIMEOUT_US (3 * FW_SEC)

/**
 * struct fw_rl_server - one process of a server, until it ends.
 * @hash: hash of its id
 * @refs: references; freed when removed from the list and unreferenced
 * @gone: removed from the list
 * @listed: named since the current listing began
 * @removal_us: time to remove it unless it is listed again; 0 for none
 * @running: requests of this instance there
 * @kv_tokens: expected KV cache use of these, tokens
 * @prefill_tokens: prompt tokens sent there by this instance that have not
 *     been prefilled yet
 * @full_us: when it last rejected a reservation or a prefill
 * @full_tokens: expected use of the request that it rejected then; 0 for a
 *     prefill
 * @backoff_until_us: not chosen before this time
 * @consecutive_backoffs: backoffs since its last response
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
 * @cold_window: requests that this instance sent there in the last second
 */
struct fw_rl_server {
    struct fw_list link;
    struct fw_rl_server_entry entry;
    uint64_t hash;
    int refs;
    int gone;
    int listed;
    int64_t removal_us;
    int running;
    int64_t kv_tokens;
    int64_t prefill_tokens;
    int64_t full_us;
    int64_t full_tokens;
    int64_t backoff_until_us;
    int consecutive_backoffs;
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
    struct fw_cold_window cold_window;
};

/**
 * struct fw_rl_allowance - this instance's view of a team's token bucket.
 * @hash: hash of the team's name
 * @rate: refill rate, tokens per second
 * @burst: capacity, tokens
 * @level: tokens left; negative if other instances spent more than was known
 * @fleet_share: fraction of all known instances that are live, as of @at_us
 * @at_us: time up to which the bucket was refilled
 * @spent: tokens spent by this instance since its start
 * @leaf_spent: tokens spent by this hub's leaves, as counted by this instance
 * @digest_spent: sum of @spent and @leaf_spent last sent to the other hubs
 * @acknowledged: part of @spent that hubs have certainly counted
 * @report_spent: @spent as of the last report
 * @created_us: when the bucket was created
 * @adopted: the level was taken from another instance; until then it is the
 *     initial estimate
 */
struct fw_rl_allowance {
    uint64_t hash;
    int64_t rate;
    int64_t burst;
    double level;
    double fleet_share;
    int64_t at_us;
    int64_t spent;
    int64_t leaf_spent;
    int64_t digest_spent;
    int64_t acknowledged;
    int64_t report_spent;
    int64_t created_us;
    int adopted;
};

/**
 * struct fw_rl_store_sync - state of following the store; see watch.c.
 * @query_us: when the pending query to another instance was sent
 * @nonce: nonce of the pending query, 0 for none
 * @last_nonce: nonce of the last query
 * @list_offset: log offset up to which servers' entries were read
 * @rules_offset: log offset up to which the operator's records were read
 * @rules_source: address of an instance with a newer configuration, or empty
 * @list_source: address of an instance with newer servers, or empty
 * @store_lost: the store does not answer this instance
 * @members_known: the registered instances were read from the store
 */
struct fw_rl_store_sync {
    int64_t query_us;
    uint64_t nonce;
    uint64_t last_nonce;
    uint64_t list_offset;
    uint64_t rules_offset;
    char rules_source[FW_URL_MAX];
    char list_source[FW_URL_MAX];
    int store_lost;
    int members_known;
};

/* Two slots more than the window has; see retry_budget.c. */
#define FW_RL_RETRY_BUDGET_SLOTS 16

/**
 * struct fw_rl_retry_budget - retry budget of one service.
 * @slot: number of the current time slot
 * @requests: ring of counts per time slot
 * @retries: ring of counts per time slot
 */
struct fw_rl_retry_budget {
    char service[FW_NAME_MAX];
    int64_t slot;
    int requests[FW_RL_RETRY_BUDGET_SLOTS];
    int retries[FW_RL_RETRY_BUDGET_SLOTS];
};

enum fw_rl_call_state {
    FW_RL_QUEUED,     /* waiting for an engine with enough memory */
    FW_RL_RESERVING,  /* a reservation was requested of an engine */
    FW_RL_PREFILLING, /* a prefill engine prefills the prompt */
    FW_RL_RUNNING,    /* sent to the server that generates the response */
};

/**
 * struct fw_rl_call - a caller's request until its response has ended.
 * @route: copy of its route's configuration
 * @team_regions: regions that its team is restricted to
 * @priority: 0 most urgent
 * @opened_us: when it was received
 * @deadline_us: when it times out
 * @queue_limit_us: maximum time in the queue
 * @queue_until_us: when it is rejected if still queued
 * @cost: tokens that it costs of its team's allowance
 * @is_charged: @cost was taken, and is refunded if it never runs
 * @kv_tokens: expected KV cache use, averaged over its run; 0 for a plain
 *     request
 * @length: predicted length of its answer
 * @reservation_tokens: KV cache tokens to reserve at the engine
 * @prefill_queue_tokens: prompt tokens queued at @prefill_server when its
 *     prompt was sent there, its own included
 * @server: server that it runs on
 * @prefill_server: engine that prefills its prompt, NULL for @server
 * @reservation: reservation at @server, empty for none
 * @kv_handle: KV cache at @prefill_server, empty for none
 * @kv_addr: address of the engine that holds @kv_handle
 * @is_prefilling: its prompt counts in @prefill_server's prefill_tokens
 * @is_committed: counted in @server's cold_window as a request to follow
 * @reserved_us: when its reservation was granted, 0 if not yet
 * @sent_us: when it was sent to @server, 0 if not yet
 * @response_us: when its response began, 0 if not yet
 * @op: pending call to an upstream, NULL for none
 * @attempts: servers that may have run it
 * @is_forwarded: its response has begun
 * @ran: whether it was run
 * @tried: hashes of the servers to avoid
 */
struct fw_rl_call {
    struct fw_list link;
    uint64_t id;
    struct fw_rl_request_info info;
    struct fw_rl_route_rule route;
    char service[FW_NAME_MAX];
    char team[FW_NAME_MAX];
    struct fw_rl_regions team_regions;
    int priority;
    enum fw_rl_call_state state;
    int64_t opened_us;
    int64_t deadline_us;
    int64_t queue_limit_us;
    int64_t queue_until_us;
    int64_t cost;
    int is_charged;
    int64_t kv_tokens;
    struct fw_length_estimate length;
    int64_t reservation_tokens;
    int64_t prefill_queue_tokens;
    struct fw_rl_server *server;
    struct fw_rl_server *prefill_server;
    char reservation[FW_RL_KEY_MAX];
    char kv_handle[FW_RL_KEY_MAX];
    char kv_addr[FW_URL_MAX];
    int is_prefilling;
    int is_committed;
    int64_t reserved_us;
    int64_t sent_us;
    int64_t response_us;
    struct fw_rl_op *op;
    int attempts;
    int is_forwarded;
    enum fw_ran ran;
    uint64_t tried[FW_RL_TRIED_MAX];
    int n_tried;
    struct fw_queue_item item;
};

/**
 * struct fw_rl_op - a pending call to an upstream.
 * @call: the caller's request, NULL if it serves none
 * @deadline_us: when it times out
 * @had_free_slot: the server had a free slot when the call was sent
 * @is_calibration: a report requested only to learn the tokens per event
 */
struct fw_rl_op {
    struct fw_list link;
    uint64_t xid;
    enum fw_rl_upstream_kind kind;
    struct fw_rl_call *call;
    struct fw_rl_server *server;
    int64_t sent_us;
    int64_t deadline_us;
    int had_free_slot;
    int is_calibration;
};

/**
 * struct fw_rl_strike - strikes of one request.
 *
 * A strike is the end of a server's process shortly after its connection broke
 * while it ran the request. A request with too many strikes is rejected.
 *
 * @fingerprint: fw_rl_request_info.fingerprint of the request
 * @count: number of strikes seen by this instance
 * @at_us: time of the last strike
 */
struct fw_rl_strike {
    uint64_t fingerprint;
    int count;
    int64_t at_us;
};

/**
 * struct fw_rl_crash_suspect - a request whose connection to a server broke.
 * @fingerprint: fw_rl_request_info.fingerprint of the request
 * @server: hash of the server's id and start time, 0 once counted as a strike
 * @at_us: when the connection broke
 */
struct fw_rl_crash_suspect {
    uint64_t fingerprint;
    uint64_t server;
    int64_t at_us;
};

#define FW_RL_CRASH_SUSPECTS_MAX 64
#define FW_RL_STRIKES_MAX 64

/**
 * struct fw_rl_order_lease - lease of the order role; see stage_order.c.
 * @log_end: log offset at which the next claim must be appended
 * @last_claim_us: when this instance learned of the last claim, 0 for never
 * @claim_pending: a claim of this instance has not been answered yet
 * @fence: fencing token of the lease held here, 0 for none
 * @expires_us: end of the lease held here
 * @reports_requested: reports were requested of engines under this lease
 * @reports_until_us: no orders before this time, while reports arrive
 */
struct fw_rl_order_lease {
    uint64_t log_end;
    int64_t last_claim_us;
    int claim_pending;
    uint64_t fence;
    int64_t expires_us;
    int reports_requested;
    int64_t reports_until_us;
};

static inline int64_t
Fw_Relay_UsToMs(int64_t us)
{
    return us / FW_MSEC;
}

/* Maximum number of reasons with a counter of their own. */
#define FW_RL_REJECT_REASONS_MAX 24

/**
 * struct fw_rl_metrics - metrics of the relay; see metrics.c for the others.
 * @reasons: error responses by reason, created at the first of each
 * @labels: label of each of @reasons
 * @queued_s: from receiving a request until its reservation is granted
 * @prefill_s: from then until its prompt is prefilled
 * @response_s: from receiving a request until its response begins
 * @total_s: from receiving a request until its response has ended
 */
struct fw_rl_metrics {
    struct fw_metric requests;
    struct fw_metric forwarded;
    struct fw_metric rejected;
    struct fw_metric failed;
    struct fw_metric abandoned;
    struct fw_metric aborted;
    struct fw_metric retries;
    struct fw_metric reservations;
    struct fw_metric reservations_rejected;
    struct fw_metric prefills;
    struct fw_metric open;
    struct fw_metric queued;
    struct fw_metric members;
    struct fw_metric version;
    struct fw_metric rules_age_ms;
    struct fw_metric servers_usable;
    struct fw_metric tokens_reserved;
    struct fw_metric role_held;
    struct fw_metric reasons[FW_RL_REJECT_REASONS_MAX];
    char labels[FW_RL_REJECT_REASONS_MAX][FW_NAME_MAX + 16];
    int n_reasons;
    struct fw_histogram queued_s;
    struct fw_histogram prefill_s;
    struct fw_histogram response_s;
    struct fw_histogram total_s;
};

/**
 * struct fw_relay - state of the relay core.
 * @metrics: registry of all metrics
 * @relay_metrics: the relay's own metrics
 * @rules: current configuration, NULL for none
 * @rules_offset: its log offset
 * @rules_fresh_us: latest time at which @rules was known to be the newest
 * @store_recovered_us: when the store last answered again, 0 for never
 * @has_server_list: a complete listing of the servers was received
 * @servers_by_hash: hash of a server's id to struct fw_rl_server
 * @active_servers: servers with is_active set
 * @list_hash: sum of list_hash of @servers
 * @n_removals: servers with removal_us set
 * @largest_fleet: largest number of instances known so far, 0 if unknown
 * @evacuations: struct evacuation, see evacuation.c
 * @evacuations_end: end of the latest listing of these
 * @calls: request id to struct fw_rl_call
 * @ops: xid to struct fw_rl_op
 * @hash: hash of this instance's name
 * @known_instances: hash of an instance's name to struct known_instance
 * @loads: hash of a server's id to the load of other instances there
 * @allowances: hash of a team's name to struct fw_rl_allowance
 * @retry_budgets: struct fw_rl_retry_budget
 * @n_crash_suspects: number added to the ring @crash_suspects so far
 * @service_stats: struct fw_service_stats
 * @stage_check_us: next check of the engines' stages
 * @stages_settled: the pools had their target sizes at least once
 * @imbalance_since_us: since when a pool differs from its target size, 0 if
 *     none does
 * @drain_start_us: when draining began
 */
struct fw_relay {
    struct fw_relay_opts opts;
    GRand *rand;
    int64_t start_us;
    struct fw_metrics metrics;
    struct fw_rl_metrics relay_metrics;
    struct fw_rl_rules *rules;
    uint64_t rules_offset;
    int64_t rules_fresh_us;
    int64_t store_recovered_us;
    int has_server_list;
    struct fw_list servers;
    GHashTable *servers_by_hash;
    struct fw_list active_servers;
    uint64_t list_hash;
    int n_removals;
    int largest_fleet;
    GPtrArray *evacuations;
    uint64_t evacuations_end;
    GHashTable *calls;
    struct fw_list call_list;
    GHashTable *ops;
    struct fw_list op_list;
    struct fw_queue queue;
    uint64_t last_xid;
    struct fw_list members;
    struct fw_rl_exchange exchange;
    struct fw_rl_presence presence;
    uint64_t hash;
    GHashTable *known_instances;
    GHashTable *loads;
    GHashTable *allowances;
    GPtrArray *retry_budgets;
    struct fw_rl_crash_suspect crash_suspects[FW_RL_CRASH_SUSPECTS_MAX];
    int n_crash_suspects;
    struct fw_rl_strike strikes[FW_RL_STRIKES_MAX];
    int n_strikes;
    struct fw_rl_order_lease order_lease;
    struct fw_rl_store_sync store_sync;
    GPtrArray *service_stats;
    uint64_t digest_seq;
    int64_t stage_check_us;
    int stages_settled;
    int64_t imbalance_since_us;
    int draining;
    int64_t drain_start_us;
};

/* actions.c */
/* Appends an action. The pointer is valid until the next one is added. */
struct fw_rl_action *
Fw_RelayActions_Add(struct fw_rl_actions *acts, enum fw_rl_action_kind kind);
/*
 * Appends a log line if the log level includes @severity.
 * @event: string literal
 * @fmt: JSON members without braces
 */
void
Fw_RelayActions_Log(struct fw_rl_actions *acts, const struct fw_relay *r,
                    int severity, const char *event, const char *fmt, ...)
    __attribute__((format(printf, 5, 6)));

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
/* Whether the server is listed, does not drain and is not evacuated. */
int
Fw_Servers_IsInService(const struct fw_rl_server *s);
/* Whether new requests may be sent to the server. */
int
Fw_Servers_IsUsable(const struct fw_rl_server *s, int64_t now_us);
/* Whether the server is changing its stage. */
int
Fw_Servers_IsChangingStage(const struct fw_rl_server *s, int64_t now_us);
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
 * Whether a request, or a reservation and the run that uses it, may be sent to
 * the server without exceeding the limit of a cold one.
 */
int
Fw_Cold_MaySend(struct fw_relay *r, const struct fw_rl_server *s,
                int64_t now_us);
int
Fw_Cold_MayReserve(struct fw_relay *r, const struct fw_rl_server *s,
                   int64_t now_us);
/* @c requests a reservation of its server, which will run it or release it. */
void
Fw_Cold_NoteReserving(struct fw_rl_call *c);
/* The run or the release is being sent, or neither will be. */
void
Fw_Cold_EndReservation(struct fw_rl_call *c);

/* place.c */
/* Chooses the server for the plain request @c; NULL if there is none. */
struct fw_rl_server *
Fw_Place_Plain(struct fw_relay *r, const struct fw_rl_call *c, int64_t now_us);
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
 * Chooses a prefill engine for @c's prompt, or NULL.
 * @wait_us: receives the predicted time until the prompt is prefilled
 */
struct fw_rl_server *
Fw_Place_Prefill(struct fw_relay *r, const struct fw_rl_call *c,
                 int64_t now_us, int64_t *wait_us);
/* Load at @s of all instances together. */
void
Fw_Place_Load(const struct fw_relay *r, const struct fw_rl_server *s,
              int64_t now_us, struct fw_rl_load *out);
/* Whether @c must avoid @s, which it has tried before. */
int
Fw_Call_HasTried(const struct fw_rl_call *c, const struct fw_rl_server *s);

/* call.c */
/*
 * Calls the upstream @s; the call times out at the given time.
 * @c: the request that the call serves, NULL for none
 * @up: the call; ids and address are filled in
 */
struct fw_rl_op *
Fw_Call_Upstream(struct fw_relay *r, struct fw_rl_call *c,
                 struct fw_rl_server *s, struct fw_rl_upstream_call *up,
                 int64_t until_us, int64_t now_us, struct fw_rl_actions *out);
/* Frees @op; a response that arrives later is ignored. */
void
Fw_Op_End(struct fw_relay *r, struct fw_rl_op *op);
/*
 * Ends @c with an error response. A status that says that the request was not
 * run is replaced by 502 if it may have run.
 */
void
Fw_Call_Reject(struct fw_relay *r, struct fw_rl_call *c, int status,
               int64_t retry_us, const char *reason, int64_t now_us,
               struct fw_rl_actions *out);
/* Frees @c and what it holds; its response has ended or has no recipient. */
void
Fw_Call_End(struct fw_relay *r, struct fw_rl_call *c, int64_t now_us,
            struct fw_rl_actions *out);
/* Cancels @c's pending call and releases its reservation and KV cache. */
void
Fw_Call_Release(struct fw_relay *r, struct fw_rl_call *c, int64_t now_us,
                struct fw_rl_actions *out);
/* Starts forwarding the response of @c's pending call. */
void
Fw_Call_Forward(struct fw_relay *r, struct fw_rl_call *c, int64_t now_us,
                struct fw_rl_actions *out);
/* Detaches @c from its server without releasing its reservation there. */
void
Fw_Call_DetachServer(struct fw_rl_call *c);
/* Removes @c's prompt from the load of its prefill engine. */
void
Fw_Call_EndPrefill(struct fw_rl_call *c);
/* Severity of @c's log lines that report no problem; depends on sampling. */
int
Fw_Call_LogSeverity(const struct fw_relay *r, const struct fw_rl_call *c);
/* Ends the forwarded response of @c, complete if @whole, else aborted. */
void
Fw_Call_Finish(struct fw_relay *r, struct fw_rl_call *c, int whole,
               int64_t now_us, struct fw_rl_actions *out);

/* open.c */
/* Whether callers' keys may be accepted; see open.c. */
int
Fw_Relay_AreKeysFresh(const struct fw_relay *r, int64_t now_us);
/* Retry-After in us for requests rejected because keys are stale. */
int64_t
Fw_Relay_StaleRetryUs(struct fw_relay *r, int64_t now_us);
/* Whether @c may still be sent to a server; checked again before sending. */
int
Fw_Relay_MayServe(const struct fw_relay *r, const struct fw_rl_call *c,
                  int64_t now_us);

/* plain.c */
void
Fw_Plain_Send(struct fw_relay *r, struct fw_rl_call *c, int64_t now_us,
              struct fw_rl_actions *out);
void
Fw_Plain_HandleResponse(struct fw_relay *r, struct fw_rl_op *op,
                        const struct fw_rl_upstream_response *ans,
                        int64_t now_us, struct fw_rl_actions *out);
void
Fw_Plain_HandleFailure(struct fw_relay *r, struct fw_rl_op *op, int err,
                       int sent, int64_t now_us, struct fw_rl_actions *out);

/* stream.c */
void
Fw_Stream_Open(struct fw_relay *r, struct fw_rl_call *c, int64_t now_us,
               struct fw_rl_actions *out);
/* Requests reservations for queued requests while an engine has room. */
void
Fw_Stream_PlaceQueued(struct fw_relay *r, int64_t now_us,
                      struct fw_rl_actions *out);
void
Fw_Stream_HandleResponse(struct fw_relay *r, struct fw_rl_op *op,
                         const struct fw_rl_upstream_response *ans,
                         int64_t now_us, struct fw_rl_actions *out);
void
Fw_Stream_HandleFailure(struct fw_relay *r, struct fw_rl_op *op, int err,
                        int sent, int64_t now_us, struct fw_rl_actions *out);
/* Retry-After in us for a rejected stream. */
int64_t
Fw_Stream_RetryAfter(struct fw_relay *r, const struct fw_rl_call *c);

/* kv_demand.c */
/* Updates the expected KV cache use of @c, also in its server's total. */
void
Fw_KvDemand_Update(struct fw_relay *r, struct fw_rl_call *c, int64_t now_us);
/* KV cache tokens to reserve for @c at an engine. */
int64_t
Fw_KvDemand_Reservation(const struct fw_relay *r, const struct fw_rl_call *c);
/* Updates the statistics after a complete stream of @events events. */
void
Fw_KvDemand_NoteStreamEnd(struct fw_relay *r, const struct fw_rl_call *c,
                          int64_t events, int64_t now_us);

/* service_stats.c */
/* Returns the statistics of @service, created with initial values if new. */
struct fw_service_stats *
Fw_ServiceStats_Get(const struct fw_relay *r, const char *service);
/* Requests reports from engines to learn the tokens per event. */
void
Fw_ServiceStats_Tick(struct fw_relay *r, int64_t now_us,
                     struct fw_rl_actions *out);
/* Updates the tokens per event from a report of an engine of @service. */
void
Fw_ServiceStats_ApplyReport(struct fw_relay *r, const char *service,
                            const struct fw_rl_upstream_response *ans);
/*
 * Appends a message with all length models to @out, for an instance that has
 * just started. Return: nonzero if there are any.
 */
int
Fw_ServiceStats_Write(const struct fw_relay *r, GByteArray *out);
/* Imports the models of such a message. Return: 0 or -EBADMSG. */
int
Fw_ServiceStats_Read(struct fw_relay *r, const msgpack_object *o);

/* allowance.c */
/* Creates or resizes the buckets after a change of the configuration. */
void
Fw_Allowance_ApplyRules(struct fw_relay *r, int64_t now_us,
                        struct fw_rl_actions *out);
/*
 * Takes @cost from a team's bucket. Return: nonzero if it was taken, otherwise
 * @retry_us receives when to retry.
 */
int
Fw_Allowance_Take(struct fw_relay *r, const struct fw_rl_team_rule *t,
                  int64_t cost, int64_t now_us, int64_t *retry_us);
/* Level of the bucket in tokens and fleet_share, to log a rejection. */
void
Fw_Allowance_Describe(const struct fw_relay *r, const char *team,
                      int64_t *level, int *part_permille);
/* Returns the cost of a request that did not run. */
void
Fw_Allowance_Refund(struct fw_relay *r, const char *team, int64_t cost);
/*
 * Another hub and its leaves have spent @tokens more of the team with @hash;
 * @level is the level of the bucket there.
 */
void
Fw_Allowance_NoteHubSpending(struct fw_relay *r, uint64_t hash, int64_t tokens,
                             int64_t level, int64_t now_us);
/* A leaf of this hub has spent @tokens more of the team with @hash. */
void
Fw_Allowance_NoteLeafSpending(struct fw_relay *r, uint64_t hash,
                              int64_t tokens, int64_t now_us);

/**
 * struct fw_rl_hub_level - level of a team's bucket as sent by the hub.
 * @hash: hash of the team's name
 * @level: tokens
 * @acknowledged: tokens spent by this instance that the hub has counted
 * @is_current: answers the last report; other messages may be outdated, and
 *     can only lower the level
 */
struct fw_rl_hub_level {
    uint64_t hash;
    int64_t level;
    int64_t acknowledged;
    int is_current;
};

/* Adopts the level of the hub, less what it has not counted yet. */
void
Fw_Allowance_ApplyHubLevel(struct fw_relay *r,
                           const struct fw_rl_hub_level *level,
                           int64_t now_us);
/*
 * The hub has counted the last report. All buckets are set to full, less what
 * was spent since the report: the hub's reply lists only those not full.
 */
void
Fw_Allowance_AcknowledgeReport(struct fw_relay *r, int64_t now_us);
/* Whether the bucket is full, up to rounding. */
int
Fw_Allowance_IsFull(struct fw_relay *r, struct fw_rl_allowance *p,
                    int64_t now_us);

/* retry_budget.c */
/* Counts a request, which adds to the budget of its service. */
void
Fw_RetryBudget_NoteRequest(struct fw_relay *r, const char *service,
                           int64_t now_us);
/* Takes @relay_metrics retries. Return: nonzero if the budget allowed them. */
int
Fw_RetryBudget_Take(struct fw_relay *r, const char *service, int n,
                    int64_t now_us);

/* poison.c */
/* The connection to @s broke while it ran the request with @fingerprint. */
void
Fw_Poison_NoteDisconnect(struct fw_relay *r, uint64_t fingerprint,
                         const struct fw_rl_server *s, int64_t now_us);
/*
 * @s has ended. Adds a strike to each request whose connection to it broke
 * shortly before.
 */
void
Fw_Poison_ServerLost(struct fw_relay *r, const struct fw_rl_server *s,
                     int64_t now_us, struct fw_rl_actions *out);
/* Strikes of the request with @fingerprint, counted by all instances. */
int
Fw_Poison_CountStrikes(const struct fw_relay *r, uint64_t fingerprint,
                       int64_t now_us);

/* stage_order.c */
void
Fw_StageOrder_Tick(struct fw_relay *r, int64_t now_us,
                   struct fw_rl_actions *out);
void
Fw_StageOrder_HandleResponse(struct fw_relay *r, struct fw_rl_op *op,
                             const struct fw_rl_upstream_response *ans,
                             int64_t now_us, struct fw_rl_actions *out);
void
Fw_StageOrder_HandleFailure(struct fw_relay *r, struct fw_rl_op *op,
                            struct fw_rl_actions *out);

/* metrics.c */
/* Counts an error response by its @reason. */
void
Fw_Relay_CountRejection(struct fw_relay *r, const char *reason);
/* Updates the gauges that are derived from other state. */
void
Fw_Relay_UpdateGauges(struct fw_relay *r, int64_t now_us);
void
Fw_Relay_RegisterMetrics(struct fw_relay *r);

#endif
