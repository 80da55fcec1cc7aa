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
add_engines(struct fw_run *run, struct fw_order_env *y)
{
    for (int i = 0; i < FW_ORDER_ENV_ENGINES; i++) {
        char name[8];

        g_snprintf(name, sizeof(name), "e%d", i);
        Fw_OrderEnv_Engine(y, name, draw_role(run),
                           i % 2 ? "prefill" : "decode",
                           below(run, 2) ? "m@1" : "m@0")
            ->checks = below(run, 2);
    }
}

static void
pause_or_go_on(struct fw_run *run, struct fw_order_env *y)
{
    struct fw_order_env_holder *h =
        &y->holders[below(run, FW_ORDER_ENV_HOLDERS)];

    h->paused = !h->paused;
    Fw_Run_Trace(run, "%8.1f %s %s", (double)y->now_us / FW_SEC,
                 h->paused ? "pause" : "go on", h->self.name);
}

static void
do_fault(struct fw_run *run, struct fw_order_env *y)
{
    struct fw_order_env_engine *e =
        &y->engines[below(run, FW_ORDER_ENV_ENGINES)];
    double at = (double)y->now_us / FW_SEC;
    const char *role = draw_role(run);

    switch (below(run, 7)) {
    case 0:
    case 1:
        pause_or_go_on(run, y);
        break;
    case 2:
        y->log_down = !y->log_down;
        Fw_Run_Trace(run, "%8.1f log %s", at, y->log_down ? "down" : "up");
        break;
    case 3:
        y->lose_answers += 1;
        Fw_Run_Trace(run, "%8.1f an answer will be lost", at);
        break;
    case 4:
        y->order_delay_us = below(run, 3) ? 0 : below(run, 30) * FW_SEC;
        Fw_Run_Trace(run, "%8.1f orders take %.0f s", at,
                     (double)y->order_delay_us / FW_SEC);
        break;
    case 5:
        e->down = !e->down;
        e->busy = below(run, 2);
        Fw_Run_Trace(run, "%8.1f %s %s", at, e->name, e->down ? "down" : "up");
        break;
    default:
        Fw_Run_Trace(run, "%8.1f %s shall be %s", at, e->name, role);
        Fw_OrderEnv_SetConfiguredRole(y, e->name, role);
        break;
    }
}

static void
check_roles(struct fw_run *run, const struct fw_order_env *y)
{
    int prefill = 0;

    for (int i = 0; i < y->n_engines; i++) {
        prefill += strcmp(y->engines[i].role, "prefill") == 0;
    }
    if (prefill == 0 || prefill == y->n_engines) {
        Fw_Run_Breach(run, "no %s engine left",
                      prefill ? "decode" : "prefill");
    }
}

static void
check_fences(struct fw_run *run, const struct fw_order_env *y)
{
    if (y->fence_regressed) {
        Fw_Run_Breach(run, "an older order took effect after a newer one");
    }
}

static void
run_yard(struct fw_run *run,
         void (*check)(struct fw_run *run, const struct fw_order_env *y))
{
    struct fw_order_env *y = Fw_OrderEnv_New();

    add_engines(run, y);
    Fw_OrderEnv_Start(y, 0);
    Fw_OrderEnv_Start(y, 1);
    y->holders[1].paused = 1;
    y->poll_delay_us = 500 * FW_MSEC;
    for (int s = 0; s < run->steps && !run->breach[0]; s++) {
        char *lines;

        Fw_OrderEnv_Run(y, (1 + below(run, 50)) * 100 * FW_MSEC);
        lines = Fw_OrderEnv_Journal(y);
        if (lines[0]) {
            Fw_Run_Trace(run, "%8.1f %s", (double)y->now_us / FW_SEC,
                         g_strchomp(lines));
        }
        g_free(lines);
        check(run, y);
        if (below(run, 6) == 0) {
            do_fault(run, y);
        }
    }
    Fw_OrderEnv_Free(y);
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
