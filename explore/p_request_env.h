/*
 * What an instance sees of the world in a seeded run: engines that hold
 * requests, callers that count what they get, a log that always answers.
 */
#ifndef FW_EXPLORE_P_REQUEST_ENV_H
#define FW_EXPLORE_P_REQUEST_ENV_H

#include "base/list.h"
#include "explore/explore.h"
#include "explore/memlog.h"
#include "node/node.h"

#define FW_REQUEST_ENV_ENGINES 4 /* p0, p1 prefill; d0, d1 decode */
#define FW_REQUEST_ENV_CALLERS_MAX 400
#define FW_REQUEST_ENV_PIECES 5 /* length of each whole answer */
#define FW_REQUEST_ENV_KV_TTL_US (800 * FW_MSEC)

/**
 * struct fw_request_env_held - what an engine holds for an attempt.
 * @expires_us: freed by itself then, 0 for never
 */
struct fw_request_env_held {
    struct fw_list link;
    char id[FW_ID_MAX];
    int caller;
    int64_t expires_us;
};

/** struct fw_request_env_op - an upstream call that has no answer yet. */
struct fw_request_env_op {
    struct fw_list link;
    struct fw_up_start up;
    int caller;
    int engine;
    int started;        /* the engine has started on it */
    int64_t next_piece; /* of a stream: index of the next piece */
    int64_t first_piece;
};

/** struct fw_request_env_read - a read of the log that has no answer yet. */
struct fw_request_env_read {
    struct fw_list link;
    struct fw_log_read read;
    int64_t sent_us;
};

/**
 * struct fw_request_env_caller - one caller and what it has seen.
 * @call: handle, 0 before it asks
 * @n_pieces: pieces so far
 * @started: an engine began some attempt of it
 */
struct fw_request_env_caller {
    uint64_t call;
    char key[8];
    int n_pieces;
    int open;
    int started;
};

struct fw_request_env {
    struct fw_run *run;
    struct fw_node *node;
    int64_t now_us;
    int64_t wake_us;
    struct fw_list ops;
    struct fw_list held[FW_REQUEST_ENV_ENGINES];
    struct fw_request_env_caller callers[FW_REQUEST_ENV_CALLERS_MAX];
    int n_callers;
    struct fw_memlog log;
    struct fw_list reads; /* answered when time passes */
    int withdrawn;
    int draining;
    int exited;
    int no_faults; /* no more faults: all is answered well */
};

void
Fw_RequestEnv_Init(struct fw_request_env *env, struct fw_run *run);
void
Fw_RequestEnv_Fini(struct fw_request_env *env);
/* Lets @us pass, with all ticks and lapses due. */
void
Fw_RequestEnv_Advance(struct fw_request_env *env, int64_t us);
void
Fw_RequestEnv_OpenCall(struct fw_request_env *env);
void
Fw_RequestEnv_CloseCall(struct fw_request_env *env, int caller);
/* The instance is told to stop. */
void
Fw_RequestEnv_Drain(struct fw_request_env *env);
void
Fw_RequestEnv_WithdrawKey(struct fw_request_env *env);
/* Answers the call, well or not as @ok says, or sends a piece of it. */
void
Fw_RequestEnv_AnswerOp(struct fw_request_env *env,
                       struct fw_request_env_op *op, int ok);
void
Fw_RequestEnv_CrashEngine(struct fw_request_env *env, int engine);
struct fw_request_env_op *
Fw_RequestEnv_RandomOp(struct fw_request_env *env);
/* Requests held by all engines. */
int
Fw_RequestEnv_CountHeld(const struct fw_request_env *env);

/* For the environment's own files. */
/* p_request_callers.c: what the instance says to callers, looked at. */
void
Fw_RequestEnv_OnPiece(struct fw_request_env *env,
                      const struct fw_call_piece *p);
void
Fw_RequestEnv_OnFail(struct fw_request_env *env, const struct fw_call_fail *f);
void
Fw_RequestEnv_OnEnd(struct fw_request_env *env, const struct fw_call_end *e);
void
Fw_RequestEnv_OnExit(struct fw_request_env *env);
/* Teams, keys and engines as the operator would write them. */
void
Fw_RequestEnv_Configure(struct fw_request_env *env);
/* p_request_env.c */
void
Fw_RequestEnv_Step(struct fw_request_env *env, const struct fw_event *ev);
const char *
Fw_RequestEnv_EngineName(int engine);
struct fw_request_env_held *
Fw_RequestEnv_FindHeld(struct fw_request_env *env, int engine, const char *id);
void
Fw_RequestEnv_HoldRequest(struct fw_request_env *env, int engine,
                          const char *id, int caller);
void
Fw_RequestEnv_FreeHeld(struct fw_request_env_held *h);
/* Engine-side id that a call is about, "" for none. */
const char *
Fw_RequestEnv_RequestId(const struct fw_up_start *up);
void
Fw_RequestEnv_FreeOp(struct fw_request_env_op *op);
/* Whom an attempt belongs to, from what engines hold; -1 for unknown. */
int
Fw_RequestEnv_CallerOfId(struct fw_request_env *env, const char *id);

#endif
