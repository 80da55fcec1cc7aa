/*
 * A stage for routers: one to three of them with real fleets, messages
 * between them carried in memory through their codec, and engines that say
 * of themselves what the test sets. What the routers answer is written down.
 */
#ifndef FW_EXPLORE_P_ROUTE_ENV_H
#define FW_EXPLORE_P_ROUTE_ENV_H

#include <glib.h>

#include "route/route.h"
#include "route/router.h"

#define FW_ROUTE_ENV_INSTANCES_MAX 3
#define FW_ROUTE_ENV_ENGINES_MAX 8

/** struct route_env_engine - what an engine says of itself. */
struct route_env_engine {
    const char *name;
    int is_prefill;
    int dead;
    int64_t lag_us;
    int busy;
    int64_t queued;
    int leaving;
    const char *model;
    struct fw_up_cache_batch cache; /* given once */
};

struct route_env {
    int n;
    enum fw_policy policy;
    struct fw_self self[FW_ROUTE_ENV_INSTANCES_MAX];
    struct fw_metrics metrics[FW_ROUTE_ENV_INSTANCES_MAX];
    struct fw_fleet *fleet[FW_ROUTE_ENV_INSTANCES_MAX];
    struct fw_router *router[FW_ROUTE_ENV_INSTANCES_MAX];
    int64_t wake_us[FW_ROUTE_ENV_INSTANCES_MAX];
    int dead[FW_ROUTE_ENV_INSTANCES_MAX];
    int lose_replies; /* answers of coordinators are lost on the way */
    struct fw_config *cfg;
    int64_t now_us;
    int n_engines;
    struct route_env_engine engine[FW_ROUTE_ENV_ENGINES_MAX];
    struct fw_list mail;
    GString *seen;
    GRand *rand; /* NULL: no message is lost by chance */
    int lose_permille;
    void (*on_answer)(struct route_env *env, int node,
                      const struct fw_route_answer *a);
    void *ctx;
};

/* Nodes n0, n1 ... with engines p0, p1 (prefill, domains a and b), d0, d1
 * (decode, two slots each, domains a and b) and servers s0, s1, s2. Has run
 * until all know each other and the engines. */
struct route_env *
stage_new(int nodes, enum fw_policy policy);
void
stage_free(struct route_env *env);
/* @node starts anew and knows nothing; others still know it. */
void
stage_restart(struct route_env *env, int node);
struct route_env_engine *
route_env_engine(struct route_env *env, const char *name);
void
stage_run(struct route_env *env, int64_t us);
/* Asks for "m"; @avoid one engine or NULL. */
void
stage_ask(struct route_env *env, int node, uint64_t ticket, const char *team,
          int64_t tokens, const char *avoid);
void
stage_step(struct route_env *env, int node, uint64_t ticket,
           enum fw_route_step step, const char *upstream);
/* Compares what was seen since the last call, then forgets it. */
void
stage_expect(struct route_env *env, const char *lines);

#endif
