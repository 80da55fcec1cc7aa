/* Simulated engines: successful and failed answers to upstream calls. */
#include <errno.h>
#include <inttypes.h>

#include "explore/p_request_env.h"

/* Applies the effect of a call that reached the engine. */
static void
start_op(struct fw_request_env *env, struct fw_request_env_op *op)
{
    struct fw_request_env_held *h = Fw_RequestEnv_FindHeld(
        env, op->engine, Fw_RequestEnv_RequestId(&op->up));

    op->started = 1;
    switch (op->up.kind) {
    case FW_UP_PREFILL:
    case FW_UP_IMPORT:
        Fw_RequestEnv_HoldRequest(
            env, op->engine, Fw_RequestEnv_RequestId(&op->up), op->caller);
        break;
    case FW_UP_CANCEL:
        if (h) {
            Fw_RequestEnv_FreeHeld(h);
        }
        break;
    default:
        break;
    }
}

/* Fails a call that has not started as refused or, at random, as timed out
 * after the engine has started on it. */
static void
fail_op(struct fw_request_env *env, struct fw_request_env_op *op)
{
    struct fw_event ev = {.kind = FW_EV_UP};
    int reached = op->started || g_rand_boolean(env->run->rand);

    if (reached && op->engine >= 0) {
        start_op(env, op);
    }
    ev.u.up.op = op->up.op;
    ev.u.up.kind = op->up.kind;
    ev.u.up.phase = FW_UP_FAILED;
    ev.u.up.ran = reached ? FW_RAN_MAYBE : FW_RAN_NO;
    ev.u.up.err = reached ? -ETIMEDOUT : -ECONNREFUSED;
    Fw_Run_Trace(env->run, "%s fails call %d of caller %d, reached %d",
                 op->up.upstream, (int)op->up.kind, op->caller, reached);
    Fw_RequestEnv_FreeOp(op);
    Fw_RequestEnv_Step(env, &ev);
}

static void
send_piece(struct fw_request_env *env, struct fw_request_env_op *op,
           int64_t index)
{
    char *text = g_strdup_printf("%d/%" PRId64 " ", op->caller, index);
    struct fw_event ev = {
        .kind = FW_EV_UP,
        .u.up = {.op = op->up.op,
                 .kind = op->up.kind,
                 .phase = FW_UP_TOKEN,
                 .u.token = {.index = index, .text = text}},
    };

    Fw_RequestEnv_Step(env, &ev);
    g_free(text);
}

/* Sends one event of a stream: the next piece, the last one again, the piece
 * after the next one, or the end. */
static void
advance_stream(struct fw_request_env *env, struct fw_request_env_op *op)
{
    struct fw_event ev = {.kind = FW_EV_UP};
    int event = env->no_faults ? 9 : g_rand_int_range(env->run->rand, 0, 10);
    struct fw_request_env_held *h = Fw_RequestEnv_FindHeld(
        env, op->engine, Fw_RequestEnv_RequestId(&op->up));

    if (!h) {
        fail_op(env, op);
        return;
    }
    if (event == 0 && op->next_piece > op->first_piece) {
        send_piece(env, op, op->next_piece - 1); /* duplicate */
    }
    else if (event == 1 && op->next_piece + 1 < FW_REQUEST_ENV_PIECES) {
        op->next_piece++; /* lost */
        send_piece(env, op, op->next_piece);
        op->next_piece++;
    }
    else if (op->next_piece < FW_REQUEST_ENV_PIECES) {
        send_piece(env, op, op->next_piece++);
    }
    else {
        ev.u.up.op = op->up.op;
        ev.u.up.kind = op->up.kind;
        ev.u.up.phase = FW_UP_DONE;
        ev.u.up.u.end.tokens = FW_REQUEST_ENV_PIECES;
        g_strlcpy(ev.u.up.u.end.reason, "length",
                  sizeof(ev.u.up.u.end.reason));
        h->expires_us = env->now_us + FW_REQUEST_ENV_KV_TTL_US;
        Fw_RequestEnv_FreeOp(op);
        Fw_RequestEnv_Step(env, &ev);
    }
}

static void
fill_answer(struct fw_request_env *env, const struct fw_request_env_op *op,
            struct fw_up_event *up, const char **ids)
{
    struct fw_request_env_held *h;
    struct fw_list *pos;

    switch (op->up.kind) {
    case FW_UP_PREFILL:
        g_strlcpy(up->u.kv.kv, Fw_RequestEnv_RequestId(&op->up),
                  sizeof(up->u.kv.kv));
        up->u.kv.ttl_us = FW_REQUEST_ENV_KV_TTL_US;
        h = Fw_RequestEnv_FindHeld(env, op->engine,
                                   Fw_RequestEnv_RequestId(&op->up));
        if (h) {
            h->expires_us = env->now_us + FW_REQUEST_ENV_KV_TTL_US;
        }
        break;
    case FW_UP_IMPORT:
        up->u.transfer_us = FW_MSEC;
        break;
    case FW_UP_LOAD_REPORT:
        up->u.report.slots = 20;
        up->u.report.kv_total = 1 << 20;
        g_strlcpy(up->u.report.role, op->engine < 2 ? "prefill" : "decode",
                  sizeof(up->u.report.role));
        up->u.report.n_models = 1;
        g_strlcpy(up->u.report.models[0], "m@1", FW_MODELREF_MAX);
        break;
    case FW_UP_LIST_REQUESTS:
        FW_LIST_EACH (pos, &env->held[op->engine]) {
            if (up->u.held.n < FW_REQUEST_ENV_CALLERS_MAX) {
                ids[up->u.held.n++] =
                    FW_LIST_ENTRY(pos, struct fw_request_env_held, link)->id;
            }
        }
        up->u.held.requests = ids;
        break;
    default:
        break;
    }
}

void
Fw_RequestEnv_AnswerOp(struct fw_request_env *env,
                       struct fw_request_env_op *op, int ok)
{
    const char *ids[FW_REQUEST_ENV_CALLERS_MAX];
    struct fw_event ev = {.kind = FW_EV_UP};

    if (!ok) {
        fail_op(env, op);
        return;
    }
    if (op->up.kind == FW_UP_IMPORT &&
        Fw_RequestEnv_CallerOfId(env, Fw_RequestEnv_RequestId(&op->up)) < 0) {
        fail_op(env, op); /* the KV cache has expired */
        return;
    }
    if (op->up.kind == FW_UP_DECODE || op->up.kind == FW_UP_RESUME) {
        advance_stream(env, op);
        return;
    }
    start_op(env, op);
    ev.u.up.op = op->up.op;
    ev.u.up.kind = op->up.kind;
    ev.u.up.phase = FW_UP_DONE;
    ev.u.up.status = 200;
    fill_answer(env, op, &ev.u.up, ids);
    Fw_RequestEnv_FreeOp(op);
    Fw_RequestEnv_Step(env, &ev);
}

void
Fw_RequestEnv_CrashEngine(struct fw_request_env *env, int engine)
{
    struct fw_list *pos;
    int again = 1;

    Fw_Run_Trace(env->run, "%s crashes", Fw_RequestEnv_EngineName(engine));
    while (!Fw_List_Empty(&env->held[engine])) {
        Fw_RequestEnv_FreeHeld(FW_LIST_ENTRY(
            env->held[engine].next, struct fw_request_env_held, link));
    }
    while (again) {
        again = 0;
        FW_LIST_EACH (pos, &env->ops) {
            struct fw_request_env_op *op =
                FW_LIST_ENTRY(pos, struct fw_request_env_op, link);
            if (op->engine == engine && !op->started) {
                struct fw_event ev = {.kind = FW_EV_UP};
                ev.u.up.op = op->up.op;
                ev.u.up.kind = op->up.kind;
                ev.u.up.phase = FW_UP_FAILED;
                ev.u.up.ran = FW_RAN_MAYBE;
                ev.u.up.err = -ECONNRESET;
                Fw_RequestEnv_FreeOp(op);
                Fw_RequestEnv_Step(env, &ev);
                again = 1;
                break;
            }
        }
    }
}
