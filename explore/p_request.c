#include "explore/p_request.h"

#include "explore/p_request_env.h"

#define FW_CALM_ROUNDS 400
#define FW_OPS_PER_ROUND 200
#define FW_STOP_PAUSE_US (400 * FW_MSEC)

/* Answers what is open until nothing is, time passing. */
static void
calm_down(struct fw_request_env *w)
{
    struct fw_request_env_op *op;

    w->no_faults = 1;
    for (int i = 0; i < FW_CALM_ROUNDS && !w->run->breach[0]; i++) {
        for (int j = 0;
             j < FW_OPS_PER_ROUND && (op = Fw_RequestEnv_RandomOp(w)); j++) {
            Fw_RequestEnv_AnswerOp(w, op, 1);
        }
        Fw_RequestEnv_Advance(w, 100 * FW_MSEC);
    }
}

static void
one_step(struct fw_request_env *w)
{
    GRand *rand = w->run->rand;
    int dice = g_rand_int_range(rand, 0, 100);
    struct fw_request_env_op *op;

    if (dice < 8 && w->n_callers < FW_REQUEST_ENV_CALLERS_MAX) {
        Fw_RequestEnv_OpenCall(w);
    }
    else if (dice < 11 && w->n_callers > 0) {
        Fw_RequestEnv_CloseCall(w, g_rand_int_range(rand, 0, w->n_callers));
    }
    else if (dice < 12) {
        Fw_RequestEnv_CrashEngine(
            w, g_rand_int_range(rand, 0, FW_REQUEST_ENV_ENGINES));
    }
    else if (dice < 30) {
        Fw_RequestEnv_Advance(w, g_rand_int_range(rand, 1, 100) * FW_MSEC);
    }
    else if ((op = Fw_RequestEnv_RandomOp(w))) {
        Fw_RequestEnv_AnswerOp(w, op, g_rand_int_range(rand, 0, 25) != 0);
    }
}

/* At the end all callers go, and the engines must be empty soon after. */
void
Fw_Explore_Requests(struct fw_run *run)
{
    struct fw_request_env w;
    int withdraw_at = g_rand_int_range(run->rand, 0, run->steps * 2);

    Fw_RequestEnv_Init(&w, run);
    for (int i = 0; i < run->steps && !run->breach[0]; i++) {
        if (i == withdraw_at) {
            Fw_RequestEnv_WithdrawKey(&w);
        }
        one_step(&w);
    }
    for (int i = 0; i < w.n_callers && !run->breach[0]; i++) {
        Fw_RequestEnv_CloseCall(&w, i);
    }
    calm_down(&w);
    if (!run->breach[0] && Fw_RequestEnv_CountHeld(&w) > 0) {
        Fw_Run_Breach(run, "engines still hold %d requests of nobody",
                      Fw_RequestEnv_CountHeld(&w));
    }
    Fw_RequestEnv_Fini(&w);
}

/* Callers who come, read and go, with engines that answer well. */
static void
quiet_step(struct fw_request_env *w)
{
    GRand *rand = w->run->rand;
    int dice = g_rand_int_range(rand, 0, 100);
    struct fw_request_env_op *op;

    if (dice < 8 && w->n_callers < FW_REQUEST_ENV_CALLERS_MAX) {
        Fw_RequestEnv_OpenCall(w);
    }
    else if (dice < 10 && w->n_callers > 0) {
        Fw_RequestEnv_CloseCall(w, g_rand_int_range(rand, 0, w->n_callers));
    }
    else if (dice < 25) {
        Fw_RequestEnv_Advance(w, g_rand_int_range(rand, 1, 20) * FW_MSEC);
    }
    else if ((op = Fw_RequestEnv_RandomOp(w))) {
        Fw_RequestEnv_AnswerOp(w, op, 1);
    }
}

/* A planned stop while callers read. Engines answer well throughout: what a
 * caller loses, it loses by the stop. Each must get the rest before the
 * instance leaves. */
void
Fw_Explore_PlannedStop(struct fw_run *run)
{
    struct fw_request_env w;

    Fw_RequestEnv_Init(&w, run);
    w.no_faults = 1;
    for (int i = 0; i < run->steps && !run->breach[0]; i++) {
        quiet_step(&w);
    }
    if (!run->breach[0]) {
        Fw_RequestEnv_Drain(&w);
        /* Longer than handovers take: one that does not wait for its callers
         * leaves now. */
        Fw_RequestEnv_Advance(&w, FW_STOP_PAUSE_US);
    }
    calm_down(&w);
    for (int i = 0; i < w.n_callers && !run->breach[0]; i++) {
        if (w.callers[i].open) {
            Fw_Run_Breach(run, "caller %d waits for good", i);
        }
    }
    if (!run->breach[0] && !w.exited) {
        Fw_Run_Breach(run, "the instance never leaves");
    }
    Fw_RequestEnv_Fini(&w);
}
