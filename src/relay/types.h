/*
 * What the relay knows of callers, upstreams and the operator's
 * configuration, in the project's words. The adapter of a platform decodes
 * its wire form into these and back; nothing here depends on one.
 */
#ifndef FW_RELAY_TYPES_H
#define FW_RELAY_TYPES_H

#include <glib.h>
#include <stdint.h>

#include "base/limits.h"
#include "base/list.h"

/* Services that one route's traffic is split over. */
#define FW_RL_TARGETS_MAX 8
/* A caller's key, or a handle of engine memory. */
#define FW_RL_KEY_MAX 128

/** enum fw_rl_kind - what may be done with a request twice. */
enum fw_rl_kind {
    FW_RL_IDEMPOTENT,
    FW_RL_ONCE,   /* runs at most once for each of the caller's attempts */
    FW_RL_STREAM, /* events; once, unless the route is resumable */
};

/** struct fw_rl_target - a service and its part of a route's traffic. */
struct fw_rl_target {
    char service[FW_NAME_MAX];
    int weight;
};

/**
 * struct fw_rl_route_rule - one route.
 * @prefix: of the path; begins and ends with a slash
 * @timeout_us: the longest that a caller may be kept waiting
 * @objective_us: an answer (a stream's first event) by then is on time
 * @gap_us: longest pause between events that is on time, 0 for none
 * @attempts: servers that one request may be sent to
 * @priority: 0 is the most urgent
 * @anonymous: needs no key
 * @resumable: a broken stream may go on at another server
 * @generates: carries a model's prompt: goes through prefill and decode
 */
struct fw_rl_route_rule {
    char name[FW_NAME_MAX];
    char host[FW_URL_MAX];
    char prefix[FW_URL_MAX];
    enum fw_rl_kind kind;
    int64_t timeout_us;
    int64_t objective_us;
    int64_t gap_us;
    int attempts;
    int priority;
    int anonymous;
    int resumable;
    int generates;
    int n_targets;
    struct fw_rl_target targets[FW_RL_TARGETS_MAX];
};

/**
 * struct fw_rl_engine_spec - what the engines of a service can do.
 * @slots: requests at once
 * @kv_tokens: memory
 * @handle_us: life of a finished prefill's KV cache
 * @hold_us: longest life of a reservation
 * @switch_us: out of service while changing its stage
 */
struct fw_rl_engine_spec {
    int slots;
    int64_t kv_tokens;
    int64_t handle_us;
    int64_t hold_us;
    int64_t switch_us;
};

/** struct fw_rl_service_rule - one service; @engine holds when @engines. */
struct fw_rl_service_rule {
    char name[FW_NAME_MAX];
    char health[FW_URL_MAX];
    int max_conns;
    int engines;
    struct fw_rl_engine_spec engine;
};

/**
 * struct fw_rl_team_rule - one team.
 * @rate, @burst: tokens a second and tokens; 0 for no limit
 * @by_request: rate and burst count requests, not tokens
 * @plain_cost: tokens that a request without token counts counts as
 * @priority: -1 when the route's holds
 */
struct fw_rl_team_rule {
    char name[FW_NAME_MAX];
    int64_t rate;
    int64_t burst;
    int by_request;
    int64_t plain_cost;
    int priority;
};

/**
 * struct fw_rl_rules - a configuration in full; immutable once read.
 * @routes, @services, @teams: of the structs above
 * @by_host: host to GPtrArray of struct fw_rl_route_rule, longest prefix first
 * @keys: caller's key to struct fw_rl_team_rule
 */
struct fw_rl_rules {
    int refs;
    int64_t version;
    GPtrArray *routes;
    GPtrArray *services;
    GPtrArray *teams;
    GHashTable *by_host;
    GHashTable *keys;
    int64_t header_bytes;
    int64_t body_bytes;
    int64_t header_us;
    int64_t idle_us;
};

/* An empty configuration with one reference. */
struct fw_rl_rules *
Fw_Rules_New(void);
struct fw_rl_rules *
Fw_Rules_Ref(struct fw_rl_rules *r);
void
Fw_Rules_Unref(struct fw_rl_rules *r);
/* Each returns a new zeroed element of @r. */
struct fw_rl_route_rule *
Fw_Rules_AddRoute(struct fw_rl_rules *r);
struct fw_rl_service_rule *
Fw_Rules_AddService(struct fw_rl_rules *r);
struct fw_rl_team_rule *
Fw_Rules_AddTeam(struct fw_rl_rules *r);
void
Fw_Rules_AddKey(struct fw_rl_rules *r, const char *key,
                struct fw_rl_team_rule *t);
/* After the last route was added: makes them findable. */
void
Fw_Rules_Index(struct fw_rl_rules *r);
/* The route with the longest prefix of @path at @host, or NULL. */
const struct fw_rl_route_rule *
Fw_Rules_Route(const struct fw_rl_rules *r, const char *host,
               const char *path);
const struct fw_rl_service_rule *
Fw_Rules_Service(const struct fw_rl_rules *r, const char *name);
const struct fw_rl_team_rule *
Fw_Rules_Team(const struct fw_rl_rules *r, const char *key);

/** enum fw_rl_stage - what an engine does at present. */
enum fw_rl_stage {
    FW_RL_STAGE_NONE, /* no engine */
    FW_RL_STAGE_PREFILL,
    FW_RL_STAGE_DECODE,
};

/**
 * struct fw_rl_server_entry - a server as the platform lists it.
 * @born_ms: start of its process, Unix milliseconds: tells two lifetimes
 *           under one id apart; 0 when not known
 * @cold_us: how much longer it will be slow after its start
 */
struct fw_rl_server_entry {
    char id[FW_NAME_MAX];
    char service[FW_NAME_MAX];
    char addr[FW_URL_MAX];
    char domain[FW_NAME_MAX];
    int slots;
    int draining;
    enum fw_rl_stage stage;
    int64_t born_ms;
    int64_t cold_us;
};

/**
 * struct fw_rl_ask - a caller's request, without its bytes.
 * @path: of the target, without the query; for the choice of a route only
 * @key: bearer key, empty for none; never logged
 * @left_us: how long the caller will wait; 0 when it didn't say
 * @tokens_in, @tokens_out: prompt, and the most it may generate; -1 if not
 *                          said
 * @hint_out: the caller's estimate of what it will generate; -1 if not said
 * @last_event: it goes on with a broken stream from this id; -1 for none
 * @digest: of method, target and body, for telling poison requests
 */
struct fw_rl_ask {
    char id[FW_ID_MAX];
    char host[FW_URL_MAX];
    char path[256];
    char key[FW_RL_KEY_MAX];
    int64_t left_us;
    int64_t tokens_in;
    int64_t tokens_out;
    int64_t hint_out;
    int64_t last_event;
    uint64_t digest;
};

#endif
