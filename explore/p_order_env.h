/*
 * Simulated environment of orders: instances that compete for the order role,
 * an in-memory log and engines. Instances can be paused, orders delayed and
 * their answers lost. Used by seeded runs and scripted tests.
 */
#ifndef FW_EXPLORE_P_ORDER_ENV_H
#define FW_EXPLORE_P_ORDER_ENV_H

#include <glib.h>

#include "fleet/fleet.h"
#include "order/order.h"

#define FW_ORDER_ENV_HOLDERS 2
#define FW_ORDER_ENV_ENGINES 4

/**
 * struct fw_order_env_engine - an engine.
 * @role: current role, "prefill" or "decode"
 * @models: loaded models and adapters, as in reports
 * @busy: number of busy slots that it reports
 * @down: polls of it fail; it still executes orders
 * @checks_fence: it refuses orders with an older fencing number
 * @max_fence: largest fencing number of the orders it has executed
 */
struct fw_order_env_engine {
    char name[FW_NAME_MAX];
    char role[16];
    char models[4][FW_MODELREF_MAX];
    int n_models;
    int busy;
    int down;
    int checks_fence;
    uint64_t max_fence;
};

/**
 * struct fw_order_env_holder - an instance that may hold the order role.
 * @up: it was started
 * @paused: it neither runs nor receives
 */
struct fw_order_env_holder {
    struct fw_self self;
    struct fw_fleet *fleet;
    struct fw_roles *roles;
    struct fw_orders *orders;
    int up;
    int paused;
};

/** struct fw_order_env_call - an upstream call or a read of the log. */
struct fw_order_env_call;

/**
 * struct fw_order_env - instances, engines and log.
 * @log: records of the log, strings; entry i has the offset i + 1
 * @calls: unfinished calls, struct fw_order_env_call
 * @log_down: the log refuses appends and fails reads
 * @order_delay_us: latency of an order before it reaches the engine
 * @poll_delay_us: latency of a poll before it reaches the engine
 * @lose_answers: number of next orders that are executed but time out
 * @fence_regressed: an engine executed an order with a smaller fencing number
 *                   than an earlier one
 * @journal: a line "HOLDER ENGINE ORDER -> RESULT" for each order that reached
 *           its engine
 */
struct fw_order_env {
    struct fw_order_env_holder holders[FW_ORDER_ENV_HOLDERS];
    struct fw_order_env_engine engines[FW_ORDER_ENV_ENGINES];
    int n_engines;
    struct fw_config *cfg;
    GPtrArray *log;
    GPtrArray *calls;
    int64_t now_us;
    int log_down;
    int64_t order_delay_us;
    int64_t poll_delay_us;
    int lose_answers;
    int fence_regressed;
    GString *journal;
};

/* Creates an environment with the pool "p", which serves m@1, without engines
 * and with no instance started. */
struct fw_order_env *
Fw_OrderEnv_New(void);
void
Fw_OrderEnv_Free(struct fw_order_env *env);
/* Adds an engine to pool "p". @role: configured role; @current_role: role that
 * it reports; @models: loaded models, separated by spaces. */
struct fw_order_env_engine *
Fw_OrderEnv_AddEngine(struct fw_order_env *env, const char *name,
                      const char *role, const char *current_role,
                      const char *models);
/* Starts or restarts an instance with empty state. */
void
Fw_OrderEnv_Start(struct fw_order_env *env, int holder);
/* Advances the time by @us, rounded up to 100 ms. */
void
Fw_OrderEnv_Advance(struct fw_order_env *env, int64_t us);
/* Configures the engine @name of pool "p" with @role. */
void
Fw_OrderEnv_SetConfiguredRole(struct fw_order_env *env, const char *name,
                              const char *role);
/* Return: number of orders without an answer. */
int
Fw_OrderEnv_CountPendingOrders(const struct fw_order_env *env);
/* Return: the journal since the last call, to be freed with g_free. */
char *
Fw_OrderEnv_TakeJournal(struct fw_order_env *env);

#endif
