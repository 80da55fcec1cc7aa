#include "explore/p_request.h"

#include "explore/p_request_env.h"

#define FW_CALM_ROUNDS 400
#define FW_OPS_PER_ROUND 200
#define FW_STOP_PAUSE_US (400 * FW_MSEC)

/* Answers what is open until nothing is, time passing. */
static void
calm_down(struct fw_request_env *env)
{
    struct fw_request_env_op *op;

    env->no_faults = 1;
    for (int i = 0; i < FW_CALM_ROUNDS && !env->run->breach[0]; i++) {
        for (int j = 0;
             j < FW_OPS_PER_ROUND && (op = Fw_RequestEnv_RandomOp(env)); j++) {
            Fw_RequestEnv_AnswerOp(env, op, 1);
        }
        Fw_RequestEnv_Advance(env, 100 * FW_MSEC);
    }
}

static void
one_step(struct fw_request_env *env)
{
    GRand *rand = env->run->rand;
    int dice = g_rand_int_range(rand, 0, 100);
    struct fw_request_env_op *op;

    if (dice < 8 && env->n_callers < FW_REQUEST_ENV_CALLERS_MAX) {
        Fw_RequestEnv_OpenCall(env);
    }
    else if (dice < 11 && env->n_callers > 0) {
        Fw_RequestEnv_CloseCall(env,
                                g_rand_int_range(rand, 0, env->n_callers));
    }
    else if (dice < 12) {
        Fw_RequestEnv_CrashEngine(
            env, g_rand_int_range(rand, 0, FW_REQUEST_ENV_ENGINES));
    }
    else if (dice < 30) {
        Fw_RequestEnv_Advance(env, g_rand_int_range(rand, 1, 100) * FW_MSEC);
    }
    else if ((op = Fw_RequestEnv_RandomOp(env))) {
        Fw_RequestEnv_AnswerOp(env, op, g_rand_int_range(rand, 0, 25) != 0);
    }
}

/* At the end all callers go, and the engines must be empty soon after. */
void
Fw_Explore_Requests(struct fw_run *run)
{
    struct fw_request_env env;
    int withdraw_at = g_rand_int_range(run->rand, 0, run->steps * 2);

    Fw_RequestEnv_Init(&env, run);
    for (int i = 0; i < run->steps && !run->breach[0]; i++) {
        if (i == withdraw_at) {
            Fw_RequestEnv_WithdrawKey(&env);
        }
        one_step(&env);
    }
    for (int i = 0; i < env.n_callers && !run->breach[0]; i++) {
        Fw_RequestEnv_CloseCall(&env, i);
    }
    calm_down(&env);
    if (!run->breach[0] && Fw_RequestEnv_CountHeld(&env) > 0) {
        Fw_Run_Breach(run, "engines still hold %d requests of nobody",
                      Fw_RequestEnv_CountHeld(&env));
    }
    Fw_RequestEnv_Fini(&env);
}

/* Callers who come, read and go, with engines that answer well. */
static void
quiet_step(struct fw_request_env *env)
{
    GRand *rand = env->run->rand;
    int dice = g_rand_int_range(rand, 0, 100);
    struct fw_request_env_op *op;

    if (dice < 8 && env->n_callers < FW_REQUEST_ENV_CALLERS_MAX) {
        Fw_RequestEnv_OpenCall(env);
    }
    else if (dice < 10 && env->n_callers > 0) {
        Fw_RequestEnv_CloseCall(env,
                                g_rand_int_range(rand, 0, env->n_callers));
    }
    else if (dice < 25) {
        Fw_RequestEnv_Advance(env, g_rand_int_range(rand, 1, 20) * FW_MSEC);
    }
    else if ((op = Fw_RequestEnv_RandomOp(env))) {
        Fw_RequestEnv_AnswerOp(env, op, 1);
    }
}

/* A planned stop while callers read. Engines answer well throughout: what a
 * caller loses, it loses by the stop. Each must get the rest before the
 * instance leaves. */
void
Fw_Explore_PlannedStop(struct fw_run *run)
{
    struct fw_request_env env;

    Fw_RequestEnv_Init(&env, run);
    env.no_faults = 1;
    for (int i = 0; i < run->steps && !run->breach[0]; i++) {
        quiet_step(&env);
    }
    if (!run->breach[0]) {
        Fw_RequestEnv_Drain(&env);
        /* Longer than handovers take: one that does not wait for its callers
         * leaves now. */
        Fw_RequestEnv_Advance(&env, FW_STOP_PAUSE_US);
    }
    calm_down(&env);
    for (int i = 0; i < env.n_callers && !run->breach[0]; i++) {
        if (env.callers[i].open) {
            Fw_Run_Breach(run, "caller %d waits for good", i);
        }
    }
    if (!run->breach[0] && !env.exited) {
        Fw_Run_Breach(run, "the instance never leaves");
    }
    Fw_RequestEnv_Fini(&env);
}
