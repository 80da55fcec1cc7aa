/*
 * Types and queries of the current configuration. It is built from the
 * configuration log by config/replica.h, which alone changes it.
 */
#ifndef FW_CONFIG_CONFIG_H
#define FW_CONFIG_CONFIG_H

#include <glib.h>
#include <stdint.h>

#include "base/hash.h"
#include "base/limits.h"

#define FW_TEAM_MODELS_MAX 16
#define FW_SERVICE_CALLS_MAX 16
#define FW_UPSTREAM_LINKS_MAX 8
#define FW_POOL_SERVES_MAX 16

/**
 * struct fw_team - a team and its rate limit.
 * @version: offset of the record that last changed it
 * @rate: limit in tokens per second over the whole fleet
 * @burst: size of the token bucket
 * @priority: 0 (lowest) to 9, passed on to the engines
 * @models: names of the models it may use; an empty list allows all. Interned
 *          (GRefString), since thousands of teams name the same few models
 */
struct fw_team {
    char name[FW_NAME_MAX];
    uint64_t version;
    int64_t rate;
    int64_t burst;
    int priority;
    int n_models;
    char *models[FW_TEAM_MODELS_MAX];
};

/**
 * enum fw_on_withdraw - what happens to the running requests of a key that is
 * withdrawn.
 */
enum fw_on_withdraw {
    FW_WITHDRAW_CUT,
    FW_WITHDRAW_FINISH,
};

/** struct fw_key - API key, stored only as its SHA-256 digest. */
struct fw_key {
    char digest[FW_DIGEST_HEX_SIZE];
    char team[FW_NAME_MAX];
    uint64_t version;
    int withdrawn;
};

/** enum fw_upstream_role - kind of work that an upstream does. */
enum fw_upstream_role {
    FW_ROLE_PREFILL,
    FW_ROLE_DECODE,
    FW_ROLE_SERVICE,
};

/** enum fw_fencing - whether an upstream rejects stale fencing tokens. */
enum fw_fencing {
    FW_FENCING_CHECKED,
    FW_FENCING_IGNORED,
};

/** struct fw_kv_link - bandwidth for KV transfers from a failure domain. */
struct fw_kv_link {
    char domain[FW_NAME_MAX];
    int64_t bytes_per_s;
};

/**
 * struct fw_upstream - an engine, or a server of a plain service.
 * @version: offset of the record that last changed it
 * @pool: its pool, or the name of the plain service
 * @domain: its failure domain, empty if not given
 * @slots: number of requests it decodes concurrently
 * @prefill_rate: prefill tokens per second
 * @drained: nonzero if an operator excluded it from new requests
 */
struct fw_upstream {
    char name[FW_NAME_MAX];
    uint64_t version;
    char pool[FW_NAME_MAX];
    char url[FW_URL_MAX];
    char domain[FW_NAME_MAX];
    enum fw_upstream_role role;
    enum fw_fencing fencing;
    int slots;
    int64_t prefill_rate;
    int drained;
    int n_links;
    struct fw_kv_link links[FW_UPSTREAM_LINKS_MAX];
};

/** struct fw_served_model - model version; @adapter is empty for none. */
struct fw_served_model {
    char model[FW_NAME_MAX];
    char version[FW_NAME_MAX];
    char adapter[FW_NAME_MAX];
};

/**
 * struct fw_pool - group of engines that serve the same models.
 * @version: offset of the record that last changed it
 * @kv_bytes_per_token: size of the KV cache of one token
 * @prefill_min: minimum number of engines in the prefill role
 * @decode_min: minimum number of engines in the decode role
 */
struct fw_pool {
    char name[FW_NAME_MAX];
    uint64_t version;
    int64_t kv_bytes_per_token;
    int prefill_min;
    int decode_min;
    int n_serves;
    struct fw_served_model serves[FW_POOL_SERVES_MAX];
};

/** struct fw_service_call - allowed call; @path is without query string. */
struct fw_service_call {
    char method[16];
    char path[64];
    int idempotent;
};

/** struct fw_service - plain HTTP service; only @calls are allowed. */
struct fw_service {
    char name[FW_NAME_MAX];
    uint64_t version;
    int n_calls;
    struct fw_service_call calls[FW_SERVICE_CALLS_MAX];
};

/** struct fw_operator - operator, identified by the digest of their key. */
struct fw_operator {
    char name[FW_NAME_MAX];
    char digest[FW_DIGEST_HEX_SIZE];
    uint64_t version;
    int withdrawn;
};

/**
 * struct fw_config - current configuration.
 * @next_offset: offset of the first log record not yet applied; 1 initially
 * @on_withdraw: what happens to running requests of a withdrawn key
 * @on_withdraw_version: offset of the record that last set @on_withdraw, 0 if
 *                       it was never set
 *
 * The tables map the item's name (for keys, the digest) to its struct.
 */
struct fw_config {
    uint64_t next_offset;
    enum fw_on_withdraw on_withdraw;
    uint64_t on_withdraw_version;
    GHashTable *teams;
    GHashTable *keys;
    GHashTable *upstreams;
    GHashTable *pools;
    GHashTable *services;
    GHashTable *operators;
};

struct fw_config *
Fw_Config_New(void);
/*
 * Frees all items too. Models of a team have to be GRefStrings, made by
 * g_ref_string_new_intern.
 */
void
Fw_Config_Free(struct fw_config *cfg);

const struct fw_team *
Fw_Config_FindTeam(const struct fw_config *cfg, const char *name);
/* The team of API key @key, NULL when the key is unknown or withdrawn. */
const struct fw_team *
Fw_Config_FindTeamByKey(const struct fw_config *cfg, const char *key);
const struct fw_upstream *
Fw_Config_FindUpstream(const struct fw_config *cfg, const char *name);
const struct fw_pool *
Fw_Config_FindPool(const struct fw_config *cfg, const char *name);
const struct fw_service *
Fw_Config_FindService(const struct fw_config *cfg, const char *name);
/* Ignores the query string of @path. Returns NULL for a call not allowed. */
const struct fw_service_call *
Fw_Config_FindServiceCall(const struct fw_service *svc, const char *method,
                          const char *path);
/* The operator with key @key, NULL when it is unknown or withdrawn. */
const struct fw_operator *
Fw_Config_FindOperatorByKey(const struct fw_config *cfg, const char *key);
/* Nonzero when @team may use @model ("name" or "name+adapter"). */
int
Fw_Config_TeamAllowsModel(const struct fw_team *team, const char *model);
/* Nonzero when some pool serves @model ("name" or "name+adapter"). */
int
Fw_Config_HasModel(const struct fw_config *cfg, const char *model);

#endif
