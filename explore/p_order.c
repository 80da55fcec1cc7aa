/*
 * pool-keeps-roles: orders never change the role of the last prefill or the
 * last decode engine of a pool.
 * orders-in-fence-order: no engine executes an order with a smaller fencing
 * number than an order it has executed before.
 */
#include "explore/p_order.h"

#include <string.h>

#include "explore/p_order_env.h"

static int
rand_below(struct fw_run *run, int n)
{
    return g_rand_int_range(run->rand, 0, n);
}

static const char *
draw_role(struct fw_run *run)
{
    return rand_below(run, 2) ? "prefill" : "decode";
}

static void
add_engines(struct fw_run *run, struct fw_order_env *env)
{
    for (int i = 0; i < FW_ORDER_ENV_ENGINES; i++) {
        /* One at a time: arguments are evaluated in no order. */
        int checks_fence = rand_below(run, 2);
        const char *model = rand_below(run, 2) ? "m@1" : "m@0";
        const char *role = draw_role(run);
        char name[8];

        g_snprintf(name, sizeof(name), "e%d", i);
        Fw_OrderEnv_AddEngine(env, name, role, i % 2 ? "prefill" : "decode",
                              model)
            ->checks_fence = checks_fence;
    }
}

static void
toggle_pause(struct fw_run *run, struct fw_order_env *env)
{
    struct fw_order_env_holder *h =
        &env->holders[rand_below(run, FW_ORDER_ENV_HOLDERS)];

    h->paused = !h->paused;
    Fw_Run_Trace(run, "%8.1f %s %s", (double)env->now_us / FW_SEC,
                 h->paused ? "pause" : "resume", h->self.name);
}

/* Injects a fault, ends one or changes the configured role of an engine. */
static void
inject_fault(struct fw_run *run, struct fw_order_env *env)
{
    struct fw_order_env_engine *e =
        &env->engines[rand_below(run, FW_ORDER_ENV_ENGINES)];
    double at = (double)env->now_us / FW_SEC;
    const char *role = draw_role(run);

    switch (rand_below(run, 7)) {
    case 0:
    case 1:
        toggle_pause(run, env);
        break;
    case 2:
        env->log_down = !env->log_down;
        Fw_Run_Trace(run, "%8.1f log %s", at, env->log_down ? "down" : "up");
        break;
    case 3:
        env->lose_answers += 1;
        Fw_Run_Trace(run, "%8.1f lose the answer of an order", at);
        break;
    case 4:
        env->order_delay_us =
            rand_below(run, 3) ? 0 : rand_below(run, 30) * FW_SEC;
        Fw_Run_Trace(run, "%8.1f orders take %.0f s", at,
                     (double)env->order_delay_us / FW_SEC);
        break;
    case 5:
        e->down = !e->down;
        e->busy = rand_below(run, 2);
        Fw_Run_Trace(run, "%8.1f %s %s", at, e->name, e->down ? "down" : "up");
        break;
    default:
        Fw_Run_Trace(run, "%8.1f configure %s as %s", at, e->name, role);
        Fw_OrderEnv_SetConfiguredRole(env, e->name, role);
        break;
    }
}

static void
check_roles(struct fw_run *run, const struct fw_order_env *env)
{
    int prefill = 0;

    for (int i = 0; i < env->n_engines; i++) {
        prefill += strcmp(env->engines[i].role, "prefill") == 0;
    }
    if (prefill == 0 || prefill == env->n_engines) {
        Fw_Run_Fail(run, "no %s engine left", prefill ? "decode" : "prefill");
    }
}

static void
check_fences(struct fw_run *run, const struct fw_order_env *env)
{
    if (env->fence_regressed) {
        Fw_Run_Fail(run, "an engine executed an order with an older fence");
    }
}

static void
run_check(struct fw_run *run,
          void (*check)(struct fw_run *run, const struct fw_order_env *env))
{
    struct fw_order_env *env = Fw_OrderEnv_New();

    add_engines(run, env);
    Fw_OrderEnv_Start(env, 0);
    Fw_OrderEnv_Start(env, 1);
    env->holders[1].paused = 1;
    env->poll_delay_us = 500 * FW_MSEC;
    for (int s = 0; s < run->steps && !run->failure[0]; s++) {
        char *lines;

        Fw_OrderEnv_Advance(env, (1 + rand_below(run, 50)) * 100 * FW_MSEC);
        lines = Fw_OrderEnv_TakeJournal(env);
        if (lines[0]) {
            Fw_Run_Trace(run, "%8.1f %s", (double)env->now_us / FW_SEC,
                         g_strchomp(lines));
        }
        g_free(lines);
        check(run, env);
        if (rand_below(run, 6) == 0) {
            inject_fault(run, env);
        }
    }
    Fw_OrderEnv_Free(env);
}

void
Fw_Explore_PoolRoles(struct fw_run *run)
{
    run_check(run, check_roles);
}

void
Fw_Explore_OrderFences(struct fw_run *run)
{
    run_check(run, check_fences);
}
