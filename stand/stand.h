/*
 * Stand-in for the router's environment, for tests and the demo: engines,
 * plain services, log service, instance list and weight store in one process
 * and event loop. docs/PROTOCOLS.md describes the interfaces.
 */
#ifndef FW_STAND_STAND_H
#define FW_STAND_STAND_H

#include <stdint.h>

#include "stand/port.h"

/**
 * struct fw_stand_opts - sizes and rates.
 * @prefill_engines: number of engines with the role "prefill"
 * @decode_engines: number of engines with the role "decode"
 * @service_servers: number of servers of the plain service
 * @domains: failure domains; upstreams of a kind are spread round-robin
 * @decode_slots: concurrent requests of an engine from import to decode
 * @unfenced_every: every n-th engine of a role ignores fencing numbers; 0 for
 *                  none
 * @seed: of the random number generator
 * @model: "model@version" that every engine has loaded at start
 * @answer_tokens: index at which generation ends with reason "stop"
 * @step_ms: duration of a decode step
 * @step_request_us: added to a decode step for each request in the batch
 * @prefill_tokens_per_s: of one engine
 * @kv_capacity_tokens: KV cache capacity of an engine
 * @cache_tokens: capacity of an engine's prefix cache
 * @kv_bytes_per_token: size of a token's KV cache in a transfer
 * @link_bytes_per_s: of a decode engine's link to each failure domain
 * @kv_ttl_ms: time after which a KV cache that is not used is freed
 * @resume_grace_ms: time that a stream can be resumed after its client
 *                   disconnected or generation ended
 * @load_lag_ms: interval between two updates of the load report
 * @cache_event_delay_ms: time until a cache event is visible
 * @cache_event_loss_permille: share of cache events that are lost
 * @log_appends_per_s: rate limit of the log service
 * @log_retain_records: records kept of each stream
 * @list_lag_ms: time until a change of the instance list is visible
 * @weights_bytes: size of a model
 * @weights_bytes_per_s: rate of the weight store, shared by all fetches
 */
struct fw_stand_opts {
    int64_t prefill_engines;
    int64_t decode_engines;
    int64_t service_servers;
    int64_t domains;
    int64_t decode_slots;
    int64_t unfenced_every;
    int64_t seed;
    const char *model;
    int64_t answer_tokens;
    int64_t step_ms;
    int64_t step_request_us;
    int64_t prefill_tokens_per_s;
    int64_t kv_capacity_tokens;
    int64_t cache_tokens;
    int64_t kv_bytes_per_token;
    int64_t link_bytes_per_s;
    int64_t kv_ttl_ms;
    int64_t resume_grace_ms;
    int64_t load_lag_ms;
    int64_t cache_event_delay_ms;
    int64_t cache_event_loss_permille;
    int64_t log_appends_per_s;
    int64_t log_retain_records;
    int64_t list_lag_ms;
    int64_t weights_bytes;
    int64_t weights_bytes_per_s;
};

/** struct fw_stand - all servers of the stand-in. */
struct fw_stand {
    struct fw_stand_opts opts;
    GRand *rand;
    struct fw_list ports;
    struct fw_stand_port *list;
    struct fw_stand_port *weights;
};

void
Fw_Stand_SetDefaults(struct fw_stand_opts *opts);
/* Return: NULL if a server could not listen. */
struct fw_stand *
Fw_Stand_New(const struct fw_stand_opts *opts);
void
Fw_Stand_Free(struct fw_stand *s);
/* Return: the port with that name or base URL, or NULL. */
struct fw_stand_port *
Fw_Stand_FindPort(const struct fw_stand *s, const char *name_or_url);
/* JSON object that maps port names to base URLs; the caller frees it. */
char *
Fw_Stand_Describe(const struct fw_stand *s);

/* Each opens one port. Return: NULL if it could not listen. */
struct fw_stand_port *
Fw_StandEngine_New(struct fw_stand *s, const char *name, const char *domain,
                   const char *role, int checks_fence);
struct fw_stand_port *
Fw_StandService_New(struct fw_stand *s, const char *name, const char *domain);
struct fw_stand_port *
Fw_StandLog_New(struct fw_stand *s);
struct fw_stand_port *
Fw_StandList_New(struct fw_stand *s);
struct fw_stand_port *
Fw_StandWeights_New(struct fw_stand *s);

/* Adds an upstream to the instance list, visible at once. */
void
Fw_StandList_Add(struct fw_stand_port *list, const struct fw_stand_port *up);
/*
 * Queues a fetch of one model. Return: milliseconds until it is complete, -1
 * if the weight store is down.
 */
int64_t
Fw_StandWeights_QueueFetch(struct fw_stand_port *weights);

#endif
