/*
 * pool-keeps-roles: orders never take a pool's last engine of a role.
 * orders-in-fence-order: no order takes effect on an engine after one of a
 * later holder.
 */
#include "explore/p_order.h"

#include <string.h>

#include "explore/p_order_env.h"

static int
below(struct fw_run *run, int n)
{
    return g_rand_int_range(run->rand, 0, n);
}

static const char *
draw_role(struct fw_run *run)
{
    return below(run, 2) ? "prefill" : "decode";
}

static void
add_engines(struct fw_run *run, struct fw_order_env *env)
{
    for (int i = 0; i < FW_ORDER_ENV_ENGINES; i++) {
        char name[8];

        g_snprintf(name, sizeof(name), "e%d", i);
        Fw_OrderEnv_Engine(env, name, draw_role(run),
                           i % 2 ? "prefill" : "decode",
                           below(run, 2) ? "m@1" : "m@0")
            ->checks = below(run, 2);
    }
}

static void
pause_or_go_on(struct fw_run *run, struct fw_order_env *env)
{
    struct fw_order_env_holder *h =
        &env->holders[below(run, FW_ORDER_ENV_HOLDERS)];

    h->paused = !h->paused;
    Fw_Run_Trace(run, "%8.1f %s %s", (double)env->now_us / FW_SEC,
                 h->paused ? "pause" : "go on", h->self.name);
}

static void
do_fault(struct fw_run *run, struct fw_order_env *env)
{
    struct fw_order_env_engine *e =
        &env->engines[below(run, FW_ORDER_ENV_ENGINES)];
    double at = (double)env->now_us / FW_SEC;
    const char *role = draw_role(run);

    switch (below(run, 7)) {
    case 0:
    case 1:
        pause_or_go_on(run, env);
        break;
    case 2:
        env->log_down = !env->log_down;
        Fw_Run_Trace(run, "%8.1f log %s", at, env->log_down ? "down" : "up");
        break;
    case 3:
        env->lose_answers += 1;
        Fw_Run_Trace(run, "%8.1f an answer will be lost", at);
        break;
    case 4:
        env->order_delay_us = below(run, 3) ? 0 : below(run, 30) * FW_SEC;
        Fw_Run_Trace(run, "%8.1f orders take %.0f s", at,
                     (double)env->order_delay_us / FW_SEC);
        break;
    case 5:
        e->down = !e->down;
        e->busy = below(run, 2);
        Fw_Run_Trace(run, "%8.1f %s %s", at, e->name, e->down ? "down" : "up");
        break;
    default:
        Fw_Run_Trace(run, "%8.1f %s shall be %s", at, e->name, role);
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
        Fw_Run_Breach(run, "no %s engine left",
                      prefill ? "decode" : "prefill");
    }
}

static void
check_fences(struct fw_run *run, const struct fw_order_env *env)
{
    if (env->fence_regressed) {
        Fw_Run_Breach(run, "an older order took effect after a newer one");
    }
}

static void
run_yard(struct fw_run *run,
         void (*check)(struct fw_run *run, const struct fw_order_env *env))
{
    struct fw_order_env *env = Fw_OrderEnv_New();

    add_engines(run, env);
    Fw_OrderEnv_Start(env, 0);
    Fw_OrderEnv_Start(env, 1);
    env->holders[1].paused = 1;
    env->poll_delay_us = 500 * FW_MSEC;
    for (int s = 0; s < run->steps && !run->breach[0]; s++) {
        char *lines;

        Fw_OrderEnv_Run(env, (1 + below(run, 50)) * 100 * FW_MSEC);
        lines = Fw_OrderEnv_Journal(env);
        if (lines[0]) {
            Fw_Run_Trace(run, "%8.1f %s", (double)env->now_us / FW_SEC,
                         g_strchomp(lines));
        }
        g_free(lines);
        check(run, env);
        if (below(run, 6) == 0) {
            do_fault(run, env);
        }
    }
    Fw_OrderEnv_Free(env);
}

void
Fw_Explore_PoolRoles(struct fw_run *run)
{
    run_yard(run, check_roles);
}

void
Fw_Explore_OrderFences(struct fw_run *run)
{
    run_yard(run, check_fences);
}
