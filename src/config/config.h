/*
 * The configuration in force: what the fold of the log yields. Changing it is
 * the fold's business (config/fold.h); these are its types and queries.
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
 * struct fw_team - a team and its share.
 * @version: offset of the record that last changed it
 * @rate: tokens a second over the whole fleet
 * @burst: tokens
 * @priority: 0 to 9, larger first, handed to the engines
 * @models: names of the models it may use; none listed means all. Interned
 *          (GRefString), since 12,000 teams name the same few models
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

/** enum fw_on_withdraw - what becomes of running work of a key. */
enum fw_on_withdraw {
    FW_WITHDRAW_CUT,
    FW_WITHDRAW_FINISH,
};

/** struct fw_key - a key by digest; the key itself is never kept. */
struct fw_key {
    char digest[FW_DIGEST_HEX];
    char team[FW_NAME_MAX];
    uint64_t version;
    int withdrawn;
};

/** enum fw_up_role - what an upstream is for. */
enum fw_up_role {
    FW_ROLE_PREFILL,
    FW_ROLE_DECODE,
    FW_ROLE_SERVICE,
};

/** enum fw_fencing - whether an upstream refuses old fencing numbers. */
enum fw_fencing {
    FW_FENCING_CHECKED,
    FW_FENCING_IGNORED,
};

/** struct fw_kv_link - the way from a prefill domain to this upstream. */
struct fw_kv_link {
    char domain[FW_NAME_MAX];
    int64_t bytes_per_s;
};

/**
 * struct fw_upstream - an engine or a plain service's server.
 * @pool: the pool it belongs to; of a plain service, the service's name
 * @slots: requests it decodes at once
 * @prefill_rate: tokens a second it prefills
 * @drained: an operator took it out of choice
 */
struct fw_upstream {
    char name[FW_NAME_MAX];
    uint64_t version;
    char pool[FW_NAME_MAX];
    char url[FW_URL_MAX];
    char domain[FW_NAME_MAX];
    enum fw_up_role role;
    enum fw_fencing fencing;
    int slots;
    int64_t prefill_rate;
    int drained;
    int n_links;
    struct fw_kv_link links[FW_UPSTREAM_LINKS_MAX];
};

/** struct fw_serving - a model version, with an adapter or none. */
struct fw_serving {
    char model[FW_NAME_MAX];
    char version[FW_NAME_MAX];
    char adapter[FW_NAME_MAX];
};

/**
 * struct fw_pool - engines that serve the same models.
 * @kv_bytes_per_token: size of the KV of one token
 * @prefill_min, @decode_min: engines of each role never gone below
 */
struct fw_pool {
    char name[FW_NAME_MAX];
    uint64_t version;
    int64_t kv_bytes_per_token;
    int prefill_min;
    int decode_min;
    int n_serves;
    struct fw_serving serves[FW_POOL_SERVES_MAX];
};

/** struct fw_service_call - @method and @path (no query) of one call. */
struct fw_service_call {
    char method[16];
    char path[64];
    int idempotent;
};

/** struct fw_service - a plain service; calls not listed are refused. */
struct fw_service {
    char name[FW_NAME_MAX];
    uint64_t version;
    int n_calls;
    struct fw_service_call calls[FW_SERVICE_CALLS_MAX];
};

/** struct fw_operator - who may change things; by digest of their key. */
struct fw_operator {
    char name[FW_NAME_MAX];
    char digest[FW_DIGEST_HEX];
    uint64_t version;
    int withdrawn;
};

/**
 * struct fw_config - everything in force.
 * @offset: the log has been folded up to here (exclusive), 1 at first
 * @on_withdraw: what becomes of running work of a withdrawn key
 * @on_withdraw_version: offset of the record that last set it, 0 for none
 *
 * The tables map name (of keys: digest) to the struct.
 */
struct fw_config {
    uint64_t offset;
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
/* A team made by hand (g_new0) names its models by g_ref_string_new_intern. */
void
Fw_Config_Free(struct fw_config *cfg);

const struct fw_team *
Fw_Config_Team(const struct fw_config *cfg, const char *name);
/* The team of bearer key @key, or NULL when it is unknown or withdrawn. */
const struct fw_team *
Fw_Config_KeyTeam(const struct fw_config *cfg, const char *key);
const struct fw_upstream *
Fw_Config_Upstream(const struct fw_config *cfg, const char *name);
const struct fw_pool *
Fw_Config_Pool(const struct fw_config *cfg, const char *name);
const struct fw_service *
Fw_Config_Service(const struct fw_config *cfg, const char *name);
/* The listed call, @path with or without a query; NULL when not listed. */
const struct fw_service_call *
Fw_Config_ServiceCall(const struct fw_service *svc, const char *method,
                      const char *path);
/* The operator of @key, or NULL when it is unknown or withdrawn. */
const struct fw_operator *
Fw_Config_Operator(const struct fw_config *cfg, const char *key);
/* Nonzero when @team may use @model. */
int
Fw_Config_TeamMay(const struct fw_team *team, const char *model);
/* Nonzero when some pool serves @model ("name" or "name+adapter"). */
int
Fw_Config_HasModel(const struct fw_config *cfg, const char *model);

#endif
