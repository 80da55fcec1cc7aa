/*
 * Simulated environment of one instance: engines that hold requests, callers
 * that check the responses they receive, and an in-memory log that never
 * fails. Simulated time starts at one second.
 */
#ifndef FW_EXPLORE_P_REQUEST_ENV_H
#define FW_EXPLORE_P_REQUEST_ENV_H

#include "base/list.h"
#include "explore/explore.h"
#include "explore/memlog.h"
#include "node/node.h"

#define FW_REQUEST_ENV_ENGINES 4 /* p0, p1 prefill; d0, d1 decode */
#define FW_REQUEST_ENV_CALLERS_MAX 400
#define FW_REQUEST_ENV_PIECES 5 /* in a complete response */
#define FW_REQUEST_ENV_KV_TTL_US (800 * FW_MSEC)

/**
 * struct fw_request_env_held - a request whose KV cache an engine holds.
 * @id: id of the request at the engine, one per attempt
 * @caller: index of the caller, -1 when unknown
 * @expires_us: when the engine frees it, 0 for never
 */
struct fw_request_env_held {
    struct fw_list link;
    char id[FW_ID_MAX];
    int caller;
    int64_t expires_us;
};

/**
 * struct fw_request_env_op - an upstream call that has not finished.
 * @caller: index of the caller, -1 when unknown or for calls such as polls
 * @engine: index of the engine, -1 when it is not in the configuration
 * @started: the engine has started on it
 * @next_piece: of a stream, index of the next piece to send
 * @first_piece: of a stream, index that the instance asked to start from
 */
struct fw_request_env_op {
    struct fw_list link;
    struct fw_up_start up;
    int caller;
    int engine;
    int started;
    int64_t next_piece;
    int64_t first_piece;
};

/** struct fw_request_env_read - a read of the log that is not answered yet. */
struct fw_request_env_read {
    struct fw_list link;
    struct fw_log_read read;
    int64_t sent_us;
};

/**
 * struct fw_request_env_caller - one caller with its only request.
 * @call: handle of the request at the instance; index of the caller plus one
 * @key: API key, "key-a" of team a or "key-b" of team b
 * @n_pieces: pieces received
 * @open: the caller waits for the rest of the response
 * @started: an engine has started on an attempt of the request
 */
struct fw_request_env_caller {
    uint64_t call;
    char key[8];
    int n_pieces;
    int open;
    int started;
};

/**
 * struct fw_request_env - the instance and its environment.
 * @wake_us: when the instance wants its next tick
 * @ops: unfinished upstream calls, struct fw_request_env_op
 * @held: requests held by each engine, struct fw_request_env_held
 * @reads: unanswered reads of @log, struct fw_request_env_read; they are
 *         answered by Fw_RequestEnv_Advance
 * @withdrawn: "key-a" is withdrawn
 * @draining: the instance was told to drain
 * @exited: the instance asked to exit
 * @no_faults: streams lose, duplicate and reorder no pieces
 */
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
    struct fw_list reads;
    int withdrawn;
    int draining;
    int exited;
    int no_faults;
};

/* Configures and starts the instance and waits until it is ready. */
void
Fw_RequestEnv_Init(struct fw_request_env *env, struct fw_run *run);
void
Fw_RequestEnv_Clear(struct fw_request_env *env);
/* Answers the reads of the log, then advances the time by @us with the ticks
 * and expiries due. */
void
Fw_RequestEnv_Advance(struct fw_request_env *env, int64_t us);
/* Adds a caller that sends a request with a random key. */
void
Fw_RequestEnv_OpenCall(struct fw_request_env *env);
/* Disconnects @caller if its call is open. */
void
Fw_RequestEnv_CloseCall(struct fw_request_env *env, int caller);
/* Tells the instance to drain. */
void
Fw_RequestEnv_Drain(struct fw_request_env *env);
/* Withdraws "key-a"; calls with it must end at once. */
void
Fw_RequestEnv_WithdrawKey(struct fw_request_env *env);
/* Fails @op unless @ok; else sends the next event of a stream or the answer of
 * any other call. Frees @op when it has ended. */
void
Fw_RequestEnv_AnswerOp(struct fw_request_env *env,
                       struct fw_request_env_op *op, int ok);
/* Frees all that @engine holds and fails the calls that it has not started. */
void
Fw_RequestEnv_CrashEngine(struct fw_request_env *env, int engine);
/* Return: a random unfinished upstream call, or NULL when there is none. */
struct fw_request_env_op *
Fw_RequestEnv_RandomOp(struct fw_request_env *env);
/* Return: number of requests held by all engines. */
int
Fw_RequestEnv_CountHeld(const struct fw_request_env *env);

/* The rest is internal to the environment. */
/* p_request_callers.c: checks of what the instance sends to callers. */
void
Fw_RequestEnv_OnPiece(struct fw_request_env *env,
                      const struct fw_call_token *p);
void
Fw_RequestEnv_OnFail(struct fw_request_env *env, const struct fw_call_fail *f);
void
Fw_RequestEnv_OnEnd(struct fw_request_env *env, const struct fw_call_end *e);
void
Fw_RequestEnv_OnExit(struct fw_request_env *env);
/* Appends the initial configuration to the log: teams, pool, engines, keys. */
void
Fw_RequestEnv_Configure(struct fw_request_env *env);
/* p_request_env.c */
/* Passes @ev to the instance and performs the actions it asks for. */
void
Fw_RequestEnv_Step(struct fw_request_env *env, const struct fw_event *ev);
const char *
Fw_RequestEnv_EngineName(int engine);
/* Return: the request, or NULL when @engine does not hold it. */
struct fw_request_env_held *
Fw_RequestEnv_FindHeld(struct fw_request_env *env, int engine, const char *id);
/* Makes @engine hold a request and marks it as started; does nothing more when
 * it is held already. @caller may be -1. */
void
Fw_RequestEnv_HoldRequest(struct fw_request_env *env, int engine,
                          const char *id, int caller);
void
Fw_RequestEnv_FreeHeld(struct fw_request_env_held *h);
/* Return: id at the engine of the request that a call is about, or "". */
const char *
Fw_RequestEnv_RequestId(const struct fw_up_start *up);
void
Fw_RequestEnv_FreeOp(struct fw_request_env_op *op);
/* Return: caller whose request some engine holds under @id, -1 for none. */
int
Fw_RequestEnv_CallerOfId(struct fw_request_env *env, const char *id);

#endif
