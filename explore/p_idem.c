/*
 * at-most-once: no call takes effect twice.
 * not-run-is-true: no call is sent whose caller is told that it did not run.
 *
 * Both runs check all of this, and that instances answer all calls after the
 * faults have ended. They differ in how often the log fails.
 */
#include "explore/p_idem.h"

#include <string.h>

#include "explore/p_idem_env.h"

#define KEYS 6
#define RECOVERY_US (30 * FW_SEC)

static gint32
rand_below(struct fw_run *run, gint32 n)
{
    return g_rand_int_range(run->rand, 0, n);
}

/* Submits a call, mostly with a recent key and sometimes with one whose
 * records may have expired. */
static void
submit_call(struct fw_run *run, struct fw_idem_env *env, int step)
{
    int instance = rand_below(run, env->n);
    int key = MAX(step / 8 - rand_below(run, KEYS), 0);
    char name[FW_ID_MAX];

    if (rand_below(run, 12) == 0) {
        key = rand_below(run, step / 8 + 1);
    }
    g_snprintf(name, sizeof(name), "order-%d%s", key, key % 3 ? "@0" : "");
    Fw_Run_Trace(run, "%8.3f call %u at %d key %s",
                 (double)env->now_us / FW_SEC, env->calls->len + 1, instance,
                 name);
    Fw_IdemEnv_SubmitCall(env, instance, name,
                          rand_below(run, 20) ? "buy" : "sell");
}

static void
inject_log_fault(struct fw_run *run, struct fw_idem_env *env)
{
    static const char *const names[] = {"down", "lose", "drop",
                                        "late", "slow", "retain"};
    int what = env->log.down ? 0 : rand_below(run, G_N_ELEMENTS(names));

    switch (what) {
    case 0:
        env->log.down = !env->log.down;
        break;
    case 1:
        env->log.lose_answers = 1 + rand_below(run, 3);
        break;
    case 2:
        env->log.drop_appends = 1 + rand_below(run, 3);
        break;
    case 3:
        env->log.delay_appends = 1 + rand_below(run, 2);
        break;
    case 4:
        env->log.latency_us = MAX(rand_below(run, 6) - 3, 0) * 700 * FW_MSEC;
        break;
    default:
        env->log.retain_records = 4 + rand_below(run, 200);
        break;
    }
    Fw_Run_Trace(run, "%8.3f log %s", (double)env->now_us / FW_SEC,
                 names[what]);
}

static void
inject_instance_fault(struct fw_run *run, struct fw_idem_env *env)
{
    static const char *const names[] = {"kill or start", "pause", "cut"};
    int instance = rand_below(run, env->n);
    int what = rand_below(run, G_N_ELEMENTS(names));
    struct fw_idem_env_instance *inst = &env->instances[instance];

    Fw_Run_Trace(run, "%8.3f instance %d: %s", (double)env->now_us / FW_SEC,
                 instance, names[what]);
    switch (what) {
    case 0:
        if (inst->up) {
            Fw_IdemEnv_Kill(env, instance);
        }
        else {
            Fw_IdemEnv_Start(env, instance);
        }
        break;
    case 1:
        inst->paused_until_us = env->now_us + rand_below(run, 15) * FW_SEC;
        break;
    default:
        inst->isolated = !inst->isolated;
        break;
    }
}

/* Ends the faults of log and network; instances that still run must then
 * answer their calls. */
static void
clear_faults(struct fw_run *run, struct fw_idem_env *env)
{
    env->log.down = 0;
    env->log.latency_us = 0;
    env->log.lose_answers = 0;
    env->log.drop_appends = 0;
    env->log.delay_appends = 0;
    for (int i = 0; i < env->n; i++) {
        env->instances[i].isolated = 0;
    }
    Fw_IdemEnv_Advance(env, RECOVERY_US);
    for (guint i = 0; i < env->calls->len && !env->failure[0]; i++) {
        const struct fw_idem_env_call *call = g_ptr_array_index(env->calls, i);
        const struct fw_idem_env_instance *inst =
            &env->instances[call->instance];

        if (!call->answered && inst->up && inst->self.boot == call->boot) {
            Fw_Run_Fail(run, "call %u was never answered", i + 1);
        }
    }
}

/* @log_faults: steps out of 20 that inject a fault of the log, on average. */
static void
explore(struct fw_run *run, int log_faults)
{
    struct fw_idem_env env;

    Fw_IdemEnv_Init(&env, FW_IDEM_ENV_INSTANCES, run->trace);
    for (int step = 0; step < run->steps && !env.failure[0]; step++) {
        int what = rand_below(run, 20);

        env.service = (enum fw_idem_env_service)(
            rand_below(run, 10) < 7 ? FW_IDEM_ENV_SERVICE_ANSWERS
                                    : 1 + rand_below(run, 2));
        if (what < 12) {
            submit_call(run, &env, step);
        }
        else if (what < 12 + log_faults) {
            inject_log_fault(run, &env);
        }
        else if (what < 14 + log_faults) {
            inject_instance_fault(run, &env);
        }
        Fw_IdemEnv_Advance(&env, rand_below(run, 8)
                                     ? rand_below(run, 60) * FW_MSEC
                                     : rand_below(run, 6) * FW_SEC);
    }
    if (!env.failure[0]) {
        clear_faults(run, &env);
    }
    if (env.failure[0]) {
        Fw_Run_Fail(run, "%s", env.failure);
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
