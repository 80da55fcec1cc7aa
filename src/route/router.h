/* Internals of the router, private to this directory, benchmarks and tests. */
#ifndef FW_ROUTE_ROUTER_H
#define FW_ROUTE_ROUTER_H

#include "base/list.h"
#include "base/metrics.h"
#include "route/policy.h"
#include "route/queue.h"
#include "route/route.h"
#include "route/slots.h"

/**
 * struct fw_engine_status - what an engine serves, by its last load report.
 * @received_us: when the report came, 0 if there is none or the last poll
 *               failed
 * @models: hashes of "model@version" or "model@version+adapter"
 */
struct fw_engine_status {
    int64_t received_us;
    int leaving;
    int is_prefill;
    int n_models;
    uint64_t models[FW_UP_MODELS_MAX];
};

#define FW_COORD_LINKS FW_UPSTREAM_LINKS_MAX

/**
 * struct fw_kv_link_state - KV link into a decode engine.
 * @from_domain: hash of the failure domain at the other end
 * @busy_until_us: when the transfers reserved on it will be finished
 */
struct fw_kv_link_state {
    uint64_t from_domain;
    int64_t busy_until_us;
};

/**
 * struct fw_coord - reservations and load of one engine, kept by its
 * coordinator or by an instance that polls the engine itself. Soft state:
 * rebuilt from the engine's load reports.
 * @last_request_us: when a reservation was last requested, which keeps the
 *                   state alive where the engine is not coordinated
 * @poll_op: load call in progress, 0 for none
 * @next_poll_us: when the next load call is due
 * @cache_op: cache events call in progress, 0 for none
 * @next_cache_us: when the next cache events call is due
 * @next_cache_seq: sequence number of the next cache event
 * @cache_synced: whether cache events were received before, so that a gap in
 *                their numbers means lost events
 * @cache_hit_permille: share of the tokens expected to be cached that the
 *                      engine did find cached, a moving average
 */
struct fw_coord {
    struct fw_engine_status status;
    struct fw_slots slots;
    struct fw_backlog backlog;
    struct fw_kv_link_state links[FW_COORD_LINKS];
    int64_t last_request_us;
    uint64_t poll_op;
    int64_t next_poll_us;
    uint64_t cache_op;
    int64_t next_cache_us;
    uint64_t next_cache_seq;
    int cache_synced;
    int cache_hit_permille;
};

/**
 * struct fw_engine - what this instance knows of one upstream.
 * @id: hash of its name
 * @cache_epoch: part of the key of its entries in the prefix table; raised to
 *               invalidate them all
 * @coordinated: whether this instance is its coordinator
 * @coord: NULL unless this instance coordinates or polls it
 * @decoding: requests of this instance that have it as decode engine
 * @prefilling: requests of this instance in prefill there
 * @peer_serving, @peer_serves, @peer_serves_us: the model version that a
 *      coordinator last reported on, whether the engine serves it, and when
 * @free_slots, @wait_us, @load_us: load last reported by a coordinator,
 *      adjusted for requests dispatched since, and when
 * @coord_down_until_us: its coordinator did not reply and is not contacted
 *                       before then
 * @listed_leaving: whether the platform's list says that it is leaving
 * @peer_leaving_us: when a peer last reported it as leaving, 0 for never
 */
struct fw_engine {
    char name[FW_NAME_MAX];
    uint64_t id;
    uint32_t cache_epoch;
    int coordinated;
    struct fw_coord *coord;
    int decoding;
    int prefilling;
    uint64_t peer_serving;
    int peer_serves;
    int64_t peer_serves_us;
    int64_t free_slots;
    int64_t wait_us;
    int64_t load_us;
    int64_t coord_down_until_us;
    int listed_leaving;
    int64_t peer_leaving_us;
    struct fw_breaker breaker;
};

/** enum fw_reservation_state - state of a requested reservation. */
enum fw_reservation_state {
    FW_RESERVATION_NONE,
    FW_RESERVATION_PENDING,
    FW_RESERVATION_GRANTED,
    FW_RESERVATION_DENIED,
};

/**
 * struct fw_reservation - reservation on one engine of a pair.
 * @wait_us: prefill: expected time until it begins; decode: until the KV link
 *           is free
 * @service_us: expected time of the prefill or of the KV transfer
 */
struct fw_reservation {
    struct fw_engine *engine;
    enum fw_reservation_state state;
    int64_t wait_us;
    int64_t service_us;
};

/** enum fw_job_state - state of a request in the router. */
enum fw_job_state {
    FW_JOB_QUEUED,
    FW_JOB_RESERVING,
    FW_JOB_RUNNING,
};

#define FW_JOB_DENIED_MAX 6

/**
 * struct fw_job - a request in the router; see struct fw_route_request for the
 * fields taken from there.
 * @round_id: identifies its last round of reservations to coordinators
 * @round_sent_us: when reservations were last requested from peers
 * @serving: hash of "model@version" or "model@version+adapter" of the chosen
 *           pair
 * @denied: ids of the engines denied in this round
 * @retry_hint_us: shortest wait that a full engine named in this round
 * @cached_tokens: prompt tokens expected, and once reported, found in the
 *                 prefill engine's prefix cache
 * @granted_us: when the pair was granted
 * @prefilled: whether the prefill has been reported as computed
 * @explanation: for fw_route_answer.why
 * @reserving: in fw_router.reserving
 */
struct fw_job {
    uint64_t ticket;
    enum fw_job_state state;
    struct fw_model_queue *model_queue;
    struct fw_queue_item queue_item;
    int64_t prompt_tokens;
    int64_t max_tokens;
    int64_t deadline_us;
    int64_t arrived_us;
    int exclusive;
    char **avoid;
    struct fw_prefixes prefixes;
    uint64_t round_id;
    int64_t round_sent_us;
    uint64_t serving;
    int n_denied;
    uint64_t denied[FW_JOB_DENIED_MAX];
    int64_t retry_hint_us;
    int64_t cached_tokens;
    int64_t granted_us;
    int prefilled;
    struct fw_reservation prefill;
    struct fw_reservation decode;
    char explanation[160];
    struct fw_list reserving;
};

/**
 * struct fw_model_queue - requests for one model that wait for engines.
 * @paused_until_us: all engines were denied; no round starts before then
 * @backoff_us: shortest length of the last pause, 0 after a grant
 * @n_rounds: rounds of reservations in progress
 * @grant_interval_us: mean time between grants while requests waited, 0 if
 *                     unknown
 * @backlogged: whether requests had to wait since the last grant
 */
struct fw_model_queue {
    char model[FW_NAME_MAX];
    struct fw_queue queue;
    int64_t paused_until_us;
    int64_t backoff_us;
    int n_rounds;
    int64_t grant_interval_us;
    int64_t last_grant_us;
    int backlogged;
};

/** struct fw_pending_answer - see Fw_Route_TakeAnswer(). */
struct fw_pending_answer {
    struct fw_route_answer answer;
    struct fw_list link;
};

/**
 * struct fw_pool_index - engines of a pool by role, each in the order of
 * their rendezvous hash with this instance.
 */
struct fw_pool_index {
    GPtrArray *prefill;
    GPtrArray *decode;
    GPtrArray *service;
};

/** struct fw_route_metrics - metrics of the router. */
struct fw_route_metrics {
    struct fw_metric queued;
    struct fw_metric grants;
    struct fw_metric refusals;
    struct fw_metric rounds;
    struct fw_metric denials;
    struct fw_metric reply_timeouts;
    struct fw_metric polls;
    struct fw_metric cache_gaps;
    struct fw_metric breaker_trips;
    struct fw_metric retries_refused;
};

/**
 * struct fw_router - routing state of one instance.
 * @self_id: identifies this run of the instance, as owner of reservations
 *           held here and for rendezvous hashing
 * @engines: id to struct fw_engine
 * @engine_list: the same engines, in the order they became known
 * @scan_pos: position in @engine_list of the scan for coordinated engines
 * @n_coordinated: engines that this instance coordinates
 * @jobs: ticket to struct fw_job
 * @rounds: round id to struct fw_job
 * @model_queues: model to struct fw_model_queue, with separate queues for
 *                exclusive requests
 * @pools: pool name to struct fw_pool_index, built from @indexed_cfg at
 *         @indexed_offset
 * @ops: calls in progress, to struct fw_engine
 * @mean_call_us: mean time of a call to a plain service, 0 if unknown
 * @reserving: jobs with a round in progress
 * @answers: struct fw_pending_answer
 * @prefixes: prefixes expected in the engines' caches
 */
struct fw_router {
    struct fw_self self;
    uint64_t self_id;
    const struct fw_fleet *fleet;
    struct fw_route_opts opts;
    GRand *rand;
    GHashTable *engines;
    GPtrArray *engine_list;
    guint scan_pos;
    int n_coordinated;
    int64_t next_scan_us;
    GHashTable *jobs;
    GHashTable *rounds;
    GHashTable *model_queues;
    GHashTable *pools;
    const struct fw_config *indexed_cfg;
    uint64_t indexed_offset;
    GHashTable *ops;
    int64_t mean_call_us;
    uint64_t next_op;
    uint64_t next_round_id;
    struct fw_list reserving;
    struct fw_list answers;
    struct fw_retry_budget retry;
    struct fw_prefix_table prefixes;
    struct fw_route_metrics m;
};

/* index.c: engines by pool. */
/* Rebuilds the index if the configuration has changed. */
void
Fw_Index_Sync(struct fw_router *r, const struct fw_config *cfg);
/* NULL if no upstream belongs to @pool. */
const struct fw_pool_index *
Fw_Index_Pool(const struct fw_router *r, const char *pool);

/* engine_cmd.c */
/* The engine of that name, created if unknown. */
struct fw_engine *
Fw_Engine_Get(struct fw_router *r, const char *name);
void
Fw_Engine_MarkLeaving(struct fw_router *r,
                      const struct fw_route_leaving *leaving, int64_t now_us);
void
Fw_Engine_ApplyResult(struct fw_engine *e,
                      const struct fw_reserve_result *result, uint64_t serving,
                      int64_t now_us);
void
Fw_Engine_UpdateLoad(struct fw_router *r, const struct fw_route_load *load,
                     int64_t now_us);
/* Adds a dispatched request to the load last reported for its engines. */
void
Fw_Engine_AddDispatched(struct fw_engine *prefill, struct fw_engine *decode,
                        int64_t compute_us, int64_t now_us);
/* Coordinator state of @e, created if there is none. */
struct fw_coord *
Fw_Engine_Coord(struct fw_engine *e);
void
Fw_Engine_DropCoord(struct fw_engine *e);

/* engine_query.c */
struct fw_engine *
Fw_Engine_Find(const struct fw_router *r, uint64_t id);
/* Key of its entries in the prefix table; changes with its cache epoch. */
uint64_t
Fw_Engine_CacheKey(const struct fw_engine *e);
/* Nonzero if the platform's list, its load report or, recently, a peer says
 * that it is leaving. */
int
Fw_Engine_IsLeaving(const struct fw_engine *e, int64_t now_us);
/* Nonzero if the platform's list or its load report says that it is leaving.
 * Only this is forwarded to peers, so that what they report expires. */
int
Fw_Engine_IsConfirmedLeaving(const struct fw_engine *e);
/**
 * Fw_Engine_CheckServes - does the engine serve @serving in that role, by its
 * own load report or else by its coordinator's last result?
 *
 * Return: 1 yes, 0 no, -1 if there is no recent information.
 */
int
Fw_Engine_CheckServes(const struct fw_engine *e, uint64_t serving,
                      int is_prefill, int64_t now_us);
/* Expected free decode slots; @slots is the configured number, used if there
 * is no recent report. */
int64_t
Fw_Engine_FreeSlots(const struct fw_engine *e, int slots, int64_t now_us);
/* Expected time until a new prefill would begin there. */
int64_t
Fw_Engine_WaitUs(const struct fw_engine *e, int64_t now_us);

/* coord_cmd.c */
/* Updates which engines this instance coordinates, and polls those due. */
void
Fw_Coord_Scan(struct fw_router *r, const struct fw_config *cfg, int64_t now_us,
              struct fw_actions *out);
/* Polls @e if it has not reported yet, and keeps its coordinator state. */
void
Fw_Coord_PollNow(struct fw_router *r, const struct fw_config *cfg,
                 struct fw_engine *e, int64_t now_us, struct fw_actions *out);
void
Fw_Coord_OnUp(struct fw_router *r, const struct fw_config *cfg,
              const struct fw_up_event *ev, int64_t now_us);
/* Decides on the reservation @item in round @round_id of @owner, and records
 * it if granted. */
void
Fw_Coord_Reserve(struct fw_router *r, const struct fw_config *cfg,
                 uint64_t owner, uint64_t round_id,
                 const struct fw_reserve_item *item, int64_t now_us,
                 struct fw_reserve_result *result, struct fw_actions *out);
/* Ends a reservation; @cached_tokens as in struct fw_route_release. */
void
Fw_Coord_Release(struct fw_engine *e, uint64_t owner, uint64_t round_id,
                 int64_t cached_tokens, int64_t now_us);

/* coord_query.c */
/* Time between two load polls of an engine. */
int64_t
Fw_Coord_PollIntervalUs(const struct fw_router *r);
/* Fills in the load of engines coordinated here, others in each round. */
void
Fw_Coord_FillLoads(const struct fw_router *r, const struct fw_config *cfg,
                   int64_t now_us, struct fw_route_reply *reply);
void
Fw_Coord_FillLeaving(const struct fw_router *r, struct fw_route_leaving *out);

/* serving.c */
/**
 * struct fw_offer - a model version that a pool serves.
 * @serving: hash of "model@version" or "model@version+adapter"
 */
struct fw_offer {
    const struct fw_pool *pool;
    const struct fw_pool_index *index;
    uint64_t serving;
};
#define FW_OFFERS_MAX 8
/* Finds the model versions for "name" or "name+adapter", the newest of a pool
 * first. Return: their number. */
int
Fw_Serving_Offers(const struct fw_router *r, const struct fw_config *cfg,
                  const char *model, struct fw_offer offers[FW_OFFERS_MAX]);

/* usable.c */
/* Nonzero if @e is configured, not drained, not leaving and not in @avoid. */
int
Fw_Usable_Check(const struct fw_engine *e, const struct fw_upstream *u,
                const char *const *avoid, int64_t now_us);
/* Nonzero if an upstream in @avoid is in the failure domain @domain. */
int
Fw_Usable_InAvoidedDomain(const struct fw_config *cfg,
                          const char *const *avoid, const char *domain);

/* pair.c: choice of the cheapest pair; changes only the job. */
/**
 * Fw_Pair_Choose - chooses engines for the reservations of @job that are not
 * yet granted.
 *
 * Return: 0; -EAGAIN if engines serve the model but all were denied in this
 * round or have an open breaker; -ENOENT if no pair serves it.
 */
int
Fw_Pair_Choose(struct fw_router *r, const struct fw_config *cfg,
               struct fw_job *job, int64_t now_us);

/* baseline.c: baseline policies, and choice of servers of plain services. */
/* Chooses and records a pair without coordinators. Return: 0, or -ENOENT. */
int
Fw_Baseline_Choose(struct fw_router *r, const struct fw_config *cfg,
                   struct fw_job *job, int64_t now_us);

/* reserve.c: rounds of reservations. */
void
Fw_Reserve_Start(struct fw_router *r, const struct fw_config *cfg,
                 struct fw_job *job, int64_t now_us, struct fw_actions *out);
void
Fw_Reserve_OnReply(struct fw_router *r, const struct fw_config *cfg,
                   const struct fw_route_reply *reply, int64_t now_us,
                   struct fw_actions *out);
void
Fw_Reserve_Tick(struct fw_router *r, const struct fw_config *cfg,
                int64_t now_us, struct fw_actions *out);

/* grant.c: answers to requests, and release of reservations. */
void
Fw_Grant_Pair(struct fw_router *r, struct fw_job *job, int64_t now_us);
void
Fw_Grant_Refuse(struct fw_router *r, struct fw_job *job, const char *code,
                int64_t retry_after_us);
/* Releases @res if it was granted or is pending. */
void
Fw_Grant_Release(struct fw_router *r, struct fw_job *job,
                 struct fw_reservation *res, int64_t now_us,
                 struct fw_actions *out);
/* Reports to the coordinator that the prefill is computed. */
void
Fw_Grant_CompletePrefill(struct fw_router *r, struct fw_job *job,
                         int64_t now_us, struct fw_actions *out);
/* Removes @job, releases its reservations and frees it. */
void
Fw_Grant_FreeJob(struct fw_router *r, struct fw_job *job, int64_t now_us,
                 struct fw_actions *out);

/* dispatch.c: admission, and start of rounds for queued requests. */
/* Queues @job, refuses it, or with a baseline policy answers it at once. */
void
Fw_Dispatch_Enqueue(struct fw_router *r, const struct fw_config *cfg,
                    struct fw_job *job, const struct fw_route_request *req,
                    int64_t now_us, struct fw_actions *out);
/* Refuses expired requests and starts rounds for others. */
void
Fw_Dispatch_Run(struct fw_router *r, const struct fw_config *cfg,
                int64_t now_us, struct fw_actions *out);

#endif
