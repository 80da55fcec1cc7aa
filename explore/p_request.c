/*
 * answered-once-whole: a caller gets each piece of its response once and in
 * order, and no success before the last one.
 * no-memory-for-the-gone: engines free the requests of disconnected callers.
 * completion-not-run-is-true: a caller told "not run" has had no attempt.
 * withdrawn-key-stops: no call goes on after its key is withdrawn.
 * planned-stop-cuts-nothing: a draining instance finishes its calls.
 */
#include "explore/p_request.h"

#include "explore/p_request_env.h"

#define FW_SETTLE_ROUNDS 400
#define FW_OPS_PER_ROUND 200
/* Longer than a handover: a draining instance that does not wait for its
 * callers has exited by then. */
#define FW_HANDOVER_WAIT_US (400 * FW_MSEC)

/* Answers all upstream calls without faults for 40 s of simulated time. */
static void
settle(struct fw_request_env *env)
{
    struct fw_request_env_op *op;

    env->no_faults = 1;
    for (int i = 0; i < FW_SETTLE_ROUNDS && !env->run->failure[0]; i++) {
        for (int j = 0;
             j < FW_OPS_PER_ROUND && (op = Fw_RequestEnv_RandomOp(env)); j++) {
            Fw_RequestEnv_AnswerOp(env, op, 1);
        }
        Fw_RequestEnv_Advance(env, 100 * FW_MSEC);
    }
}

static void
random_step(struct fw_request_env *env)
{
    GRand *rand = env->run->rand;
    int event = g_rand_int_range(rand, 0, 100);
    struct fw_request_env_op *op;

    if (event < 8 && env->n_callers < FW_REQUEST_ENV_CALLERS_MAX) {
        Fw_RequestEnv_OpenCall(env);
    }
    else if (event < 11 && env->n_callers > 0) {
        Fw_RequestEnv_CloseCall(env,
                                g_rand_int_range(rand, 0, env->n_callers));
    }
    else if (event < 12) {
        Fw_RequestEnv_CrashEngine(
            env, g_rand_int_range(rand, 0, FW_REQUEST_ENV_ENGINES));
    }
    else if (event < 30) {
        Fw_RequestEnv_Advance(env, g_rand_int_range(rand, 1, 100) * FW_MSEC);
    }
    else if ((op = Fw_RequestEnv_RandomOp(env))) {
        Fw_RequestEnv_AnswerOp(env, op, g_rand_int_range(rand, 0, 25) != 0);
    }
}

/* Finally disconnects all callers; the engines must then free all requests. */
void
Fw_Explore_Requests(struct fw_run *run)
{
    struct fw_request_env env;
    int withdraw_at = g_rand_int_range(run->rand, 0, run->steps * 2);

    Fw_RequestEnv_Init(&env, run);
    for (int i = 0; i < run->steps && !run->failure[0]; i++) {
        if (i == withdraw_at) {
            Fw_RequestEnv_WithdrawKey(&env);
        }
        random_step(&env);
    }
    for (int i = 0; i < env.n_callers && !run->failure[0]; i++) {
        Fw_RequestEnv_CloseCall(&env, i);
    }
    settle(&env);
    if (!run->failure[0] && Fw_RequestEnv_CountHeld(&env) > 0) {
        Fw_Run_Fail(run, "engines still hold %d requests without a caller",
                    Fw_RequestEnv_CountHeld(&env));
    }
    Fw_RequestEnv_Clear(&env);
}

/* A random step without faults of the engines. */
static void
random_step_without_faults(struct fw_request_env *env)
{
    GRand *rand = env->run->rand;
    int event = g_rand_int_range(rand, 0, 100);
    struct fw_request_env_op *op;

    if (event < 8 && env->n_callers < FW_REQUEST_ENV_CALLERS_MAX) {
        Fw_RequestEnv_OpenCall(env);
    }
    else if (event < 10 && env->n_callers > 0) {
        Fw_RequestEnv_CloseCall(env,
                                g_rand_int_range(rand, 0, env->n_callers));
    }
    else if (event < 25) {
        Fw_RequestEnv_Advance(env, g_rand_int_range(rand, 1, 20) * FW_MSEC);
    }
    else if ((op = Fw_RequestEnv_RandomOp(env))) {
        Fw_RequestEnv_AnswerOp(env, op, 1);
    }
}

/* Drains the instance while callers read. The engines do not fail, so a call
 * that fails does so because of the drain. */
void
Fw_Explore_PlannedStop(struct fw_run *run)
{
    struct fw_request_env env;

    Fw_RequestEnv_Init(&env, run);
    env.no_faults = 1;
    for (int i = 0; i < run->steps && !run->failure[0]; i++) {
        random_step_without_faults(&env);
    }
    if (!run->failure[0]) {
        Fw_RequestEnv_Drain(&env);
        Fw_RequestEnv_Advance(&env, FW_HANDOVER_WAIT_US);
    }
    settle(&env);
    for (int i = 0; i < env.n_callers && !run->failure[0]; i++) {
        if (env.callers[i].open) {
            Fw_Run_Fail(run, "caller %d is never answered", i);
        }
    }
    if (!run->failure[0] && !env.exited) {
        Fw_Run_Fail(run, "the drained instance never exits");
    }
    Fw_RequestEnv_Clear(&env);
}
