/*
 * Simulated environment of routers: up to three instances with their fleets,
 * messages that are packed, unpacked and delivered in memory, and engines
 * whose reports the test sets. Used by seeded runs and scripted tests.
 */
#ifndef FW_EXPLORE_P_ROUTE_ENV_H
#define FW_EXPLORE_P_ROUTE_ENV_H

#include <glib.h>

#include "route/route.h"
#include "route/router.h"

#define FW_ROUTE_ENV_INSTANCES_MAX 3
#define FW_ROUTE_ENV_ENGINES_MAX 8

/**
 * struct fw_route_env_engine - an engine and the reports it gives.
 * @unreachable: polls of it fail
 * @lag_us, @busy, @queued_tokens, @leaving, @model: reported as they are
 * @cache: answer to the next poll of its cache, cleared by it
 */
struct fw_route_env_engine {
    const char *name;
    int is_prefill;
    int unreachable;
    int64_t lag_us;
    int busy;
    int64_t queued_tokens;
    int leaving;
    const char *model;
    struct fw_up_cache_batch cache;
};

/**
 * struct fw_route_env - instances, engines and network.
 * @n: number of instances
 * @wake_us: when each instance wants its next tick
 * @paused: the instance does not run, and messages to it are lost
 * @lose_replies: routing replies between instances are lost
 * @deliveries: messages and upstream answers in flight
 * @answers: the routers' answers, one per line, unless @on_answer is set
 * @rand: decides which messages are lost; NULL for none
 * @loss_permille: share of messages that are lost
 * @on_answer: called with each answer of a router; may be NULL
 * @ctx: for the use of @on_answer
 */
struct fw_route_env {
    int n;
    enum fw_policy policy;
    struct fw_self self[FW_ROUTE_ENV_INSTANCES_MAX];
    struct fw_metrics metrics[FW_ROUTE_ENV_INSTANCES_MAX];
    struct fw_fleet *fleet[FW_ROUTE_ENV_INSTANCES_MAX];
    struct fw_router *router[FW_ROUTE_ENV_INSTANCES_MAX];
    int64_t wake_us[FW_ROUTE_ENV_INSTANCES_MAX];
    int paused[FW_ROUTE_ENV_INSTANCES_MAX];
    int lose_replies;
    struct fw_config *cfg;
    int64_t now_us;
    int n_engines;
    struct fw_route_env_engine engines[FW_ROUTE_ENV_ENGINES_MAX];
    struct fw_list deliveries;
    GString *answers;
    GRand *rand;
    int loss_permille;
    void (*on_answer)(struct fw_route_env *env, int instance,
                      const struct fw_route_answer *a);
    void *ctx;
};

/* Creates an environment with instances "n0", "n1" and so on, the prefill
 * engines p0 and p1, the decode engines d0 and d1, with two slots each, and
 * the services s0, s1 and s2. Their failure domains are a, b and, of s2, c.
 * Advances the time by 4 s, in which the instances learn of each other and of
 * the engines. */
struct fw_route_env *
Fw_RouteEnv_New(int instances, enum fw_policy policy);
void
Fw_RouteEnv_Free(struct fw_route_env *env);
/* Restarts an instance with empty state. */
void
Fw_RouteEnv_Restart(struct fw_route_env *env, int instance);
/* Return: the engine; an unknown name aborts. */
struct fw_route_env_engine *
Fw_RouteEnv_FindEngine(struct fw_route_env *env, const char *name);
/* Advances the time by @us in steps of 1 ms. */
void
Fw_RouteEnv_Advance(struct fw_route_env *env, int64_t us);
/* Submits a request for model "m"; @avoid: engine to avoid, or NULL. */
void
Fw_RouteEnv_SubmitRequest(struct fw_route_env *env, int instance,
                          uint64_t ticket, const char *team, int64_t tokens,
                          const char *avoid);
/* Reports a step of the request @ticket to the router of @instance. */
void
Fw_RouteEnv_ReportStep(struct fw_route_env *env, int instance, uint64_t ticket,
                       enum fw_route_step step, const char *upstream);
/* Asserts that the answers since the last call are @lines. */
void
Fw_RouteEnv_ExpectAnswers(struct fw_route_env *env, const char *lines);

#endif
