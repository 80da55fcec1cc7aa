/*
 * Requests, servers and configuration as the relay core represents them.
 * Platform adapters translate between these and their wire formats; nothing
 * here depends on a platform.
 */
#ifndef FW_RELAY_TYPES_H
#define FW_RELAY_TYPES_H

#include <glib.h>
#include <stdint.h>

#include "base/limits.h"
#include "base/list.h"

/* Bytes of an engine's handle or reservation, terminating null included. */
#define FW_RL_HANDLE_MAX 128

/* Failure domains whose region is known. */
#define FW_RL_DOMAINS_MAX 64

/**
 * struct fw_rl_regions - regions that requests must stay in.
 * @n: number of regions, 0 for no restriction
 * @hash: hashes of their names
 */
struct fw_rl_regions {
    int n;
    const uint64_t *hash;
};

/* Parts of one prompt that are taken into account. */
#define FW_RL_PARTS_MAX 64

/** struct fw_rl_domain_regions - hashes of domains and of their regions. */
struct fw_rl_domain_regions {
    int n;
    uint64_t domain[FW_RL_DOMAINS_MAX];
    uint64_t region[FW_RL_DOMAINS_MAX];
};

/* Hash of the region that the failure domain is in, 0 if unknown. */
uint64_t
Fw_Regions_OfDomain(const struct fw_rl_domain_regions *all,
                    const char *domain);
/* Whether requests with this restriction may use the region. */
int
Fw_Regions_Allow(const struct fw_rl_regions *r, uint64_t region);

/** enum fw_rl_route_kind - whether requests of a route may be retried. */
enum fw_rl_route_kind {
    FW_RL_IDEMPOTENT,
    FW_RL_NON_IDEMPOTENT, /* retried only if it certainly did not run */
    FW_RL_STREAM, /* event stream; retried only if the route is resumable */
};

/** struct fw_rl_target - a service and its weight in a route's traffic. */
struct fw_rl_target {
    const char *service;
    int64_t weight;
};

/**
 * struct fw_rl_route_rule - configuration of one route. What it points to
 * belongs to the configuration.
 * @is_unusable: its requests are rejected, as the rest of it can't be used
 * @prefix: path prefix; begins and ends with a slash
 * @timeout_us: limit for a whole request, 0 for the default
 * @objective_us: latency objective for the response, for a stream for its
 *     first event; 0 for none
 * @event_gap_us: objective for the interval between events, 0 for none
 * @attempts: maximum number of servers that one request may be sent to
 * @priority: 0 is the most urgent
 * @anonymous: requests need no key
 * @resumable: an interrupted stream may be continued by another server
 * @generates: requests carry a prompt and go through prefill and decode
 * @regions: regions of the servers that may get its requests
 */
struct fw_rl_route_rule {
    const char *name;
    const char *host;
    const char *prefix;
    int is_unusable;
    enum fw_rl_route_kind kind;
    int64_t timeout_us;
    int64_t objective_us;
    int64_t event_gap_us;
    int attempts;
    int priority;
    int anonymous;
    int resumable;
    int generates;
    struct fw_rl_regions regions;
    int n_targets;
    const struct fw_rl_target *targets;
};

/**
 * struct fw_rl_engine_spec - capacity and timing of a service's engines.
 * @slots: concurrent requests
 * @kv_tokens: KV cache capacity in tokens
 * @kv_ttl_us: lifetime of the KV cache of a finished prefill
 * @reservation_ttl_us: maximum lifetime of a reservation
 * @stage_change_us: time out of service during a stage change
 */
struct fw_rl_engine_spec {
    int slots;
    int64_t kv_tokens;
    int64_t kv_ttl_us;
    int64_t reservation_ttl_us;
    int64_t stage_change_us;
};

/**
 * struct fw_rl_service_rule - configuration of one service.
 * @is_unusable: requests for it are rejected, as the rest of it can't be used
 * @health: path of health checks, empty for none
 * @cold_us: time for which a server is cold after its start
 * @cold_rate: requests a second that a cold server tolerates, 0 for no limit
 * @has_engines: its servers are engines, described by @engine
 */
struct fw_rl_service_rule {
    const char *name;
    int is_unusable;
    const char *health;
    int max_conns;
    int64_t cold_us;
    double cold_rate;
    int has_engines;
    struct fw_rl_engine_spec engine;
};

/**
 * struct fw_rl_team_rule - configuration of one team.
 * @is_unusable: requests with its keys are rejected, as the rest of it can't
 *     be used
 * @rate: refill rate of its allowance, tokens per second; 0 for no limit
 * @burst: capacity of its allowance, tokens
 * @by_request: @rate and @burst count requests instead of tokens
 * @plain_cost: tokens charged for a request that declares no token counts
 * @priority: replaces the route's priority unless -1
 * @regions: as for a route; both must allow a server
 */
struct fw_rl_team_rule {
    const char *name;
    int is_unusable;
    int64_t rate;
    int64_t burst;
    int by_request;
    int64_t plain_cost;
    int priority;
    struct fw_rl_regions regions;
};

/**
 * struct fw_rl_rules - a complete configuration; immutable once indexed.
 * @routes: owned struct fw_rl_route_rule
 * @services: owned struct fw_rl_service_rule
 * @teams: owned struct fw_rl_team_rule
 * @by_host: host to GPtrArray of struct fw_rl_route_rule, longest prefix first
 * @keys: caller's key to struct fw_rl_team_rule
 * @strings: texts of routes, services and teams
 * @blocks: memory of lists that these point to
 * @n_skipped: parts that can't be used
 * @first_skipped: the first of these
 * @header_bytes: 0 for the default; maximum size of a request's headers
 * @body_bytes: maximum size of a request's body
 * @header_us: time limit for receiving a request's headers
 * @idle_us: idle timeout of connections and while receiving a body
 */
struct fw_rl_rules {
    int refs;
    int64_t version;
    GPtrArray *routes;
    GPtrArray *services;
    GPtrArray *teams;
    GHashTable *by_host;
    GHashTable *keys;
    GStringChunk *strings;
    GPtrArray *blocks;
    int n_skipped;
    char first_skipped[FW_NAME_MAX];
    int64_t header_bytes;
    int64_t body_bytes;
    int64_t header_us;
    int64_t idle_us;
};

/* Returns an empty configuration with one reference. */
struct fw_rl_rules *
Fw_Rules_New(void);
struct fw_rl_rules *
Fw_Rules_Ref(struct fw_rl_rules *r);
void
Fw_Rules_Unref(struct fw_rl_rules *r);
/* Notes that element @at of @list, or a part of it, can't be used. */
void
Fw_Rules_NoteSkipped(struct fw_rl_rules *r, const char *list, guint at);
/* A copy of @text that lives as long as @r; equal texts are stored once. */
const char *
Fw_Rules_String(struct fw_rl_rules *r, const char *text);
/* Zeroed memory that lives as long as @r. */
void *
Fw_Rules_Alloc(struct fw_rl_rules *r, size_t bytes);
/* Directs all traffic of the route to one service. */
void
Fw_Rules_SetTarget(struct fw_rl_rules *r, struct fw_rl_route_rule *route,
                   const char *service);
/* Append an element without texts, which @r owns, and return it. */
struct fw_rl_route_rule *
Fw_Rules_AddRoute(struct fw_rl_rules *r);
struct fw_rl_service_rule *
Fw_Rules_AddService(struct fw_rl_rules *r);
struct fw_rl_team_rule *
Fw_Rules_AddTeam(struct fw_rl_rules *r);
void
Fw_Rules_AddKey(struct fw_rl_rules *r, const char *key,
                struct fw_rl_team_rule *t);
/* Builds the index for Fw_Rules_Route(); call after adding the last route. */
void
Fw_Rules_Index(struct fw_rl_rules *r);
/* Returns the route with the longest prefix of @path at @host, or NULL. */
const struct fw_rl_route_rule *
Fw_Rules_Route(const struct fw_rl_rules *r, const char *host,
               const char *path);
const struct fw_rl_service_rule *
Fw_Rules_Service(const struct fw_rl_rules *r, const char *name);
/* Returns the team that a caller's @key belongs to, or NULL. */
const struct fw_rl_team_rule *
Fw_Rules_TeamNamed(const struct fw_rl_rules *r, const char *name);
const struct fw_rl_team_rule *
Fw_Rules_Team(const struct fw_rl_rules *r, const char *key);

/** enum fw_rl_stage - the phase of inference that an engine serves. */
enum fw_rl_stage {
    FW_RL_STAGE_NONE, /* the server is no engine */
    FW_RL_STAGE_PREFILL,
    FW_RL_STAGE_DECODE,
};

/**
 * struct fw_rl_server_entry - a server as the platform lists it.
 * @id, @service, @domain: belong to the entry's creator; the relay copies
 *     them
 * @slots: concurrent requests
 * @draining: accepts no new requests
 * @born_ms: start of its process in Unix milliseconds, to distinguish
 *     processes that use the same id; 0 if unknown
 * @cold_us: how much longer it is cold, as of the entry
 */
struct fw_rl_server_entry {
    const char *id;
    const char *service;
    const char *domain;
    char addr[FW_URL_MAX];
    int slots;
    int draining;
    enum fw_rl_stage stage;
    int64_t born_ms;
    int64_t cold_us;
};

/* Frees the texts of an entry whose creator has allocated them. */
void
Fw_ServerEntry_Clear(struct fw_rl_server_entry *e);

/**
 * struct fw_rl_request_info - a caller's request, without its body.
 * @id: request id, empty for none; not freed with the other texts
 * @host: name of the host in lower case, used to choose a route
 * @path: path of the target without the query, used to choose a route
 * @key: bearer key, empty for none; never logged
 * @text: memory of @host, @path and @key, if the request owns them
 * @text_bytes: its size
 * @timeout_us: how long the caller will wait, 0 if not specified
 * @tokens_in: tokens of the prompt, -1 if not specified
 * @tokens_out_max: maximum number of tokens to generate, -1 if not specified
 * @tokens_out_hint: the caller's estimate of the tokens that will be
 *     generated, -1 if not specified
 * @last_event_id: continue an interrupted stream after this event; -1 for none
 * @fingerprint: hash of method, target and body, to recognize poison requests
 * @n_parts: number of @parts
 * @parts: hashes of the model and each part of the prompt that other requests
 *     may share, in their order
 * @is_handed_over: another instance has handed it over
 */
struct fw_rl_request_info {
    const char *id;
    const char *host;
    const char *path;
    const char *key;
    char *text;
    size_t text_bytes;
    int64_t timeout_us;
    int64_t tokens_in;
    int64_t tokens_out_max;
    int64_t tokens_out_hint;
    int64_t last_event_id;
    uint64_t fingerprint;
    int n_parts;
    uint64_t parts[FW_RL_PARTS_MAX];
    int is_handed_over;
};

/* Has @info own copies of its host, path and key; NULL counts as empty. */
void
Fw_RequestInfo_Own(struct fw_rl_request_info *info);
/* Erases and frees the host, path and key that @info owns. */
void
Fw_RequestInfo_Forget(struct fw_rl_request_info *info);

#endif
