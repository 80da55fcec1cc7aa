/*
 * at-most-once: whatever fails, no order takes effect twice.
 * not-run-is-true: no call whose caller was told "not run" is ever sent.
 *
 * Both also find an instance that never answers a caller.
 */
#include "explore/p_idem.h"

#include <string.h>

#include "explore/p_idem_env.h"

#define KEYS 6
#define HEAL_US (30 * FW_SEC)

static gint32
below(struct fw_run *run, gint32 n)
{
    return g_rand_int_range(run->rand, 0, n);
}

/* Keys are used again and again, and again after their records are gone. */
static void
open_one(struct fw_run *run, struct fw_idem_env *env, int step)
{
    int instance = below(run, env->n);
    int key = MAX(step / 8 - below(run, KEYS), 0);
    char name[FW_ID_MAX];

    if (below(run, 12) == 0) {
        key = below(run, step / 8 + 1);
    }
    g_snprintf(name, sizeof(name), "order-%d%s", key, key % 3 ? "@0" : "");
    Fw_Run_Trace(run, "%8.3f call %u at %d key %s",
                 (double)env->now_us / FW_SEC, env->tries->len + 1, instance,
                 name);
    Fw_IdemEnv_Open(env, instance, name, below(run, 20) ? "buy" : "sell");
}

static void
log_fault(struct fw_run *run, struct fw_idem_env *env)
{
    static const char *const names[] = {"down", "lose", "drop",
                                        "late", "slow", "retain"};
    int what = env->log.down ? 0 : below(run, G_N_ELEMENTS(names));

    switch (what) {
    case 0:
        env->log.down = !env->log.down;
        break;
    case 1:
        env->log.lose = 1 + below(run, 3);
        break;
    case 2:
        env->log.drop = 1 + below(run, 3);
        break;
    case 3:
        env->log.late = 1 + below(run, 2);
        break;
    case 4:
        env->log.slow_us = MAX(below(run, 6) - 3, 0) * 700 * FW_MSEC;
        break;
    default:
        env->log.retain = 4 + below(run, 200);
        break;
    }
    Fw_Run_Trace(run, "%8.3f log %s", (double)env->now_us / FW_SEC,
                 names[what]);
}

static void
inject_instance_fault(struct fw_run *run, struct fw_idem_env *env)
{
    static const char *const names[] = {"kill or start", "pause", "cut"};
    int instance = below(run, env->n);
    int what = below(run, G_N_ELEMENTS(names));
    struct fw_idem_env_instance *s = &env->sites[instance];

    Fw_Run_Trace(run, "%8.3f instance %d: %s", (double)env->now_us / FW_SEC,
                 instance, names[what]);
    switch (what) {
    case 0:
        if (s->up) {
            Fw_IdemEnv_Kill(env, instance);
        }
        else {
            Fw_IdemEnv_Start(env, instance);
        }
        break;
    case 1:
        s->paused_us = env->now_us + below(run, 15) * FW_SEC;
        break;
    default:
        s->cut = !s->cut;
        break;
    }
}

static void
heal(struct fw_run *run, struct fw_idem_env *env)
{
    env->log.down = 0;
    env->log.slow_us = 0;
    env->log.lose = 0;
    env->log.drop = 0;
    env->log.late = 0;
    for (int i = 0; i < env->n; i++) {
        env->sites[i].cut = 0;
    }
    Fw_IdemEnv_Advance(env, HEAL_US);
    for (guint i = 0; i < env->tries->len && !env->breach[0]; i++) {
        const struct fw_idem_env_try *t = g_ptr_array_index(env->tries, i);
        const struct fw_idem_env_instance *s = &env->sites[t->instance];

        if (!t->answered && s->up && s->self.boot == t->boot) {
            Fw_Run_Breach(run, "call %u was never answered", i + 1);
        }
    }
}

/* @log_faults: how many of twenty steps trouble the log. */
static void
explore(struct fw_run *run, int log_faults)
{
    struct fw_idem_env env;

    Fw_IdemEnv_Init(&env, FW_IDEM_ENV_INSTANCES, run->trace);
    for (int step = 0; step < run->steps && !env.breach[0]; step++) {
        int what = below(run, 20);

        env.service = (enum fw_idem_env_service)(
            below(run, 10) < 7 ? FW_IDEM_ENV_SERVICE_ANSWERS
                               : 1 + below(run, 2));
        if (what < 12) {
            open_one(run, &env, step);
        }
        else if (what < 12 + log_faults) {
            log_fault(run, &env);
        }
        else if (what < 14 + log_faults) {
            inject_instance_fault(run, &env);
        }
        Fw_IdemEnv_Advance(&env, below(run, 8) ? below(run, 60) * FW_MSEC
                                               : below(run, 6) * FW_SEC);
    }
    if (!env.breach[0]) {
        heal(run, &env);
    }
    if (env.breach[0]) {
        Fw_Run_Breach(run, "%s", env.breach);
    }
    Fw_IdemEnv_Clear(&env);
}

void
Fw_Explore_AtMostOnce(struct fw_run *run)
{
    explore(run, 2);
}

void
Fw_Explore_NotRun(struct fw_run *run)
{
    explore(run, 5);
}
