/*
 * Holders of the order role around a log in memory and a few engines, for
 * scripted runs. The script pauses holders, delays orders, loses answers.
 */
#ifndef FW_EXPLORE_ORDER_YARD_H
#define FW_EXPLORE_ORDER_YARD_H

#include <glib.h>

#include "fleet/fleet.h"
#include "order/order.h"

#define FW_ORDER_ENV_HOLDERS 2
#define FW_ORDER_ENV_ENGINES 4

/**
 * struct fw_order_env_engine - @checks: refuses old fencing numbers
 * @fence: the largest number that it carried out an order with
 */
struct fw_order_env_engine {
    char name[FW_NAME_MAX];
    char role[16];
    char models[4][FW_MODELREF_MAX];
    int n_models;
    int busy;
    int down;
    int checks;
    uint64_t fence;
};

/** struct fw_order_env_holder - @paused: takes no events until the script says
 */
struct fw_order_env_holder {
    struct fw_self self;
    struct fw_fleet *fleet;
    struct fw_roles *roles;
    struct fw_orders *orders;
    int up;
    int paused;
};

/** struct fw_order_env_call - a call or a read on its way. */
struct fw_order_env_call;

/**
 * struct fw_order_env - @journal: each order that took effect or was refused,
 * "TIME HOLDER ENGINE ORDER -> FATE" a line
 * @order_delay_us: how long orders are on their way
 * @poll_delay_us: how long an engine's report takes
 * @lose_answers: so many orders take effect without an answer
 * @fence_regressed: an order took effect after one with a larger fencing
 * number
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

/* Pool "p" of model m@1, prefill_min 1, decode_min 1; no engines yet. */
struct fw_order_env *
Fw_OrderEnv_New(void);
void
Fw_OrderEnv_Free(struct fw_order_env *env);
/* An engine of pool p; @role as configured, @now_us as it is, models apart by
 * blanks. */
struct fw_order_env_engine *
Fw_OrderEnv_Engine(struct fw_order_env *env, const char *name,
                   const char *role, const char *now, const char *models);
void
Fw_OrderEnv_Start(struct fw_order_env *env, int holder);
void
Fw_OrderEnv_Run(struct fw_order_env *env, int64_t us);
/* What the configuration wants of an engine. */
void
Fw_OrderEnv_SetConfiguredRole(struct fw_order_env *env, const char *name,
                              const char *role);
int
Fw_OrderEnv_OrdersUnderWay(const struct fw_order_env *env);
/* The journal since the last call; free it. */
char *
Fw_OrderEnv_Journal(struct fw_order_env *env);

#endif
