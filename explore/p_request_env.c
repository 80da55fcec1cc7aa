/* Event loop of the simulated environment: upstream calls, log and time. */
#include "explore/p_request_env.h"

#include <string.h>

static const char *const engine_names[FW_REQUEST_ENV_ENGINES] = {"p0", "p1",
                                                                 "d0", "d1"};

const char *
Fw_RequestEnv_EngineName(int engine)
{
    return engine_names[engine];
}

static void
perform_actions(struct fw_request_env *env, struct fw_actions *out);

void
Fw_RequestEnv_Step(struct fw_request_env *env, const struct fw_event *ev)
{
    struct fw_actions out;

    Fw_Actions_Init(&out);
    if (Fw_Node_Step(env->node, ev, env->now_us, &out)) {
        Fw_Run_Fail(env->run, "the instance rejected an event");
    }
    env->wake_us = out.wake_us;
    perform_actions(env, &out);
    Fw_Actions_Clear(&out);
}

static int
find_engine(const char *name)
{
    for (int i = 0; i < FW_REQUEST_ENV_ENGINES; i++) {
        if (strcmp(engine_names[i], name) == 0) {
            return i;
        }
    }
    return -1;
}

struct fw_request_env_held *
Fw_RequestEnv_FindHeld(struct fw_request_env *env, int engine, const char *id)
{
    struct fw_list *pos;

    FW_LIST_EACH (pos, &env->held[engine]) {
        struct fw_request_env_held *h =
            FW_LIST_ENTRY(pos, struct fw_request_env_held, link);
        if (strcmp(h->id, id) == 0) {
            return h;
        }
    }
    return NULL;
}

void
Fw_RequestEnv_FreeHeld(struct fw_request_env_held *h)
{
    Fw_List_Remove(&h->link);
    g_free(h);
}

void
Fw_RequestEnv_HoldRequest(struct fw_request_env *env, int engine,
                          const char *id, int caller)
{
    struct fw_request_env_held *h = Fw_RequestEnv_FindHeld(env, engine, id);

    if (!h) {
        h = g_new0(struct fw_request_env_held, 1);
        g_strlcpy(h->id, id, sizeof(h->id));
        h->caller = caller;
        Fw_List_Append(&env->held[engine], &h->link);
    }
    if (caller >= 0) {
        env->callers[caller].started = 1;
    }
}

/* A prompt starts with the index of its caller. Return: -1 when empty. */
static int
parse_caller(GBytes *prompt)
{
    gsize size = 0;
    const char *data = g_bytes_get_data(prompt, &size);

    return size ? (int)g_ascii_strtoll(data, NULL, 10) : -1;
}

const char *
Fw_RequestEnv_RequestId(const struct fw_up_start *up)
{
    switch (up->kind) {
    case FW_UP_PREFILL:
        return up->u.prefill.request;
    case FW_UP_IMPORT:
        return up->u.import.request;
    case FW_UP_DECODE:
    case FW_UP_RESUME:
        return up->u.decode.request;
    case FW_UP_CANCEL:
        return up->u.cancel.request;
    case FW_UP_LOAD_REPORT:
    case FW_UP_LIST_REQUESTS:
    case FW_UP_CACHE_EVENTS:
    case FW_UP_ORDER:
    case FW_UP_SERVICE:
        break;
    }
    return "";
}

int
Fw_RequestEnv_CallerOfId(struct fw_request_env *env, const char *id)
{
    for (int e = 0; e < FW_REQUEST_ENV_ENGINES; e++) {
        const struct fw_request_env_held *h =
            Fw_RequestEnv_FindHeld(env, e, id);
        if (h) {
            return h->caller;
        }
    }
    return -1;
}

static void
start_up(struct fw_request_env *env, const struct fw_up_start *up)
{
    struct fw_request_env_op *op = g_new0(struct fw_request_env_op, 1);

    op->up = *up;
    op->engine = find_engine(up->upstream);
    op->caller = -1;
    if (up->kind == FW_UP_PREFILL) {
        op->caller = parse_caller(up->u.prefill.prompt);
        if (strcmp(up->u.prefill.team, env->callers[op->caller].key + 4) !=
            0) {
            Fw_Run_Fail(env->run, "caller %d runs for team %s", op->caller,
                        up->u.prefill.team);
        }
        if (env->withdrawn && env->callers[op->caller].key[4] == 'a') {
            Fw_Run_Fail(env->run, "caller %d runs with a withdrawn key",
                        op->caller);
        }
    }
    else if (up->kind != FW_UP_LOAD_REPORT &&
             up->kind != FW_UP_LIST_REQUESTS &&
             up->kind != FW_UP_CACHE_EVENTS) {
        op->caller =
            Fw_RequestEnv_CallerOfId(env, Fw_RequestEnv_RequestId(up));
    }
    if (up->kind == FW_UP_DECODE || up->kind == FW_UP_RESUME) {
        op->next_piece = up->u.decode.from_index;
        op->first_piece = op->next_piece;
    }
    Fw_List_Append(&env->ops, &op->link);
}

void
Fw_RequestEnv_FreeOp(struct fw_request_env_op *op)
{
    Fw_List_Remove(&op->link);
    g_free(op);
}

/* Drops the call; a prefill may have reached its engine all the same. */
static void
stop_op(struct fw_request_env *env, uint64_t number)
{
    struct fw_list *pos;
    struct fw_list *tmp;

    FW_LIST_EACH_SAFE (pos, tmp, &env->ops) {
        struct fw_request_env_op *op =
            FW_LIST_ENTRY(pos, struct fw_request_env_op, link);
        if (op->up.op == number) {
            if (op->up.kind == FW_UP_PREFILL && op->caller >= 0 &&
                g_rand_boolean(env->run->rand)) {
                Fw_RequestEnv_HoldRequest(env, op->engine,
                                          Fw_RequestEnv_RequestId(&op->up),
                                          op->caller);
            }
            Fw_RequestEnv_FreeOp(op);
        }
    }
}

static void
append_to_log(struct fw_request_env *env, const struct fw_log_append *a)
{
    struct fw_event ev = {.kind = FW_EV_LOG_APPENDED};

    ev.u.appended.ticket = a->ticket;
    ev.u.appended.first_offset = Fw_MemLog_Append(
        &env->log, a->stream, (const char *const *)a->records, a->n);
    g_strlcpy(ev.u.appended.stream, a->stream, sizeof(ev.u.appended.stream));
    Fw_RequestEnv_Step(env, &ev);
}

/* Queues the read until the time advances: the instance answers each result
 * with its next read, so immediate answers would loop. */
static void
queue_read(struct fw_request_env *env, const struct fw_log_read *r)
{
    struct fw_request_env_read *pending =
        g_new0(struct fw_request_env_read, 1);

    pending->read = *r;
    pending->sent_us = env->now_us;
    Fw_List_Append(&env->reads, &pending->link);
}

static void
answer_read(struct fw_request_env *env,
            const struct fw_request_env_read *pending)
{
    struct fw_event ev = {.kind = FW_EV_LOG_RECORDS};

    Fw_MemLog_Read(&env->log, &pending->read, pending->sent_us, &ev.u.records);
    Fw_RequestEnv_Step(env, &ev);
}

static void
answer_reads(struct fw_request_env *env)
{
    struct fw_list due;

    /* Reads that are sent in response are left for the next call. */
    Fw_List_Init(&due);
    while (!Fw_List_Empty(&env->reads)) {
        struct fw_list *link = env->reads.next;
        Fw_List_Remove(link);
        Fw_List_Append(&due, link);
    }
    while (!Fw_List_Empty(&due)) {
        struct fw_request_env_read *pending =
            FW_LIST_ENTRY(due.next, struct fw_request_env_read, link);
        Fw_List_Remove(&pending->link);
        answer_read(env, pending);
        g_free(pending);
    }
}

static void
perform_actions(struct fw_request_env *env, struct fw_actions *out)
{
    struct fw_action *a;

    while ((a = Fw_Actions_Pop(out))) {
        switch (a->kind) {
        case FW_ACT_CALL_TOKEN:
            Fw_RequestEnv_OnPiece(env, &a->u.piece);
            break;
        case FW_ACT_CALL_FAIL:
            Fw_RequestEnv_OnFail(env, &a->u.fail);
            break;
        case FW_ACT_CALL_END:
            Fw_RequestEnv_OnEnd(env, &a->u.end);
            break;
        case FW_ACT_UP_START:
            start_up(env, &a->u.up);
            break;
        case FW_ACT_UP_STOP:
            stop_op(env, a->u.stop);
            break;
        case FW_ACT_LOG_APPEND:
            append_to_log(env, &a->u.append);
            break;
        case FW_ACT_LOG_READ:
            queue_read(env, &a->u.read);
            break;
        case FW_ACT_CALL_START:
        case FW_ACT_CALL_RESPONSE:
        case FW_ACT_PEER_SEND:
        case FW_ACT_REGISTRY_READ:
        case FW_ACT_NOTE:
            break;
        case FW_ACT_EXIT:
            Fw_RequestEnv_OnExit(env);
            break;
        }
        Fw_Action_Free(a);
    }
}

static void
free_expired(struct fw_request_env *env)
{
    for (int e = 0; e < FW_REQUEST_ENV_ENGINES; e++) {
        struct fw_list *pos;
        struct fw_list *tmp;
        FW_LIST_EACH_SAFE (pos, tmp, &env->held[e]) {
            struct fw_request_env_held *h =
                FW_LIST_ENTRY(pos, struct fw_request_env_held, link);
            if (h->expires_us && h->expires_us <= env->now_us) {
                Fw_RequestEnv_FreeHeld(h);
            }
        }
    }
}

void
Fw_RequestEnv_Advance(struct fw_request_env *env, int64_t us)
{
    int64_t until = env->now_us + us;
    struct fw_event tick = {.kind = FW_EV_TICK};

    answer_reads(env);
    while (env->wake_us <= until && !env->run->failure[0]) {
        env->now_us = MAX(env->now_us, env->wake_us);
        free_expired(env);
        Fw_RequestEnv_Step(env, &tick);
    }
    env->now_us = until;
    free_expired(env);
}

void
Fw_RequestEnv_Init(struct fw_request_env *env, struct fw_run *run)
{
    struct fw_node_opts opts = {
        .self = {.name = "instance-0",
                 .boot = 1,
                 .addr = "10.0.0.1:1",
                 .domain = "d",
                 .region = "r"},
        .seed = g_rand_int(run->rand),
        .partitions = 2,
        .prompt_tokens_max = 1000,
        .max_tokens_default = FW_REQUEST_ENV_PIECES,
        .key_stale_us = 3600 * FW_SEC,
        .route = {.policy = FW_POLICY_FULL,
                  .ttft_us = 850 * FW_MSEC,
                  .itl_us = 43 * FW_MSEC,
                  .queue_max_us = 5 * FW_SEC,
                  .retry_permille = 1000,
                  .seed = 1},
    };

    memset(env, 0, sizeof(*env));
    env->run = run;
    env->now_us = FW_SEC;
    env->wake_us = env->now_us;
    Fw_MemLog_Init(&env->log);
    Fw_List_Init(&env->reads);
    Fw_List_Init(&env->ops);
    for (int e = 0; e < FW_REQUEST_ENV_ENGINES; e++) {
        Fw_List_Init(&env->held[e]);
    }
    Fw_RequestEnv_Configure(env);
    env->node = Fw_Node_New(&opts, env->now_us);
    while (!Fw_Node_Ready(env->node)) {
        Fw_RequestEnv_Advance(env, 100 * FW_MSEC);
    }
}

void
Fw_RequestEnv_Clear(struct fw_request_env *env)
{
    while (!Fw_List_Empty(&env->ops)) {
        Fw_RequestEnv_FreeOp(
            FW_LIST_ENTRY(env->ops.next, struct fw_request_env_op, link));
    }
    for (int e = 0; e < FW_REQUEST_ENV_ENGINES; e++) {
        while (!Fw_List_Empty(&env->held[e])) {
            Fw_RequestEnv_FreeHeld(FW_LIST_ENTRY(
                env->held[e].next, struct fw_request_env_held, link));
        }
    }
    while (!Fw_List_Empty(&env->reads)) {
        struct fw_list *link = env->reads.next;
        Fw_List_Remove(link);
        g_free(FW_LIST_ENTRY(link, struct fw_request_env_read, link));
    }
    Fw_MemLog_Fini(&env->log);
    Fw_Node_Free(env->node);
}

int
Fw_RequestEnv_CountHeld(const struct fw_request_env *env)
{
    const struct fw_list *pos;
    int n = 0;

    for (int e = 0; e < FW_REQUEST_ENV_ENGINES; e++) {
        FW_LIST_EACH (pos, &env->held[e]) {
            n++;
        }
    }
    return n;
}

struct fw_request_env_op *
Fw_RequestEnv_RandomOp(struct fw_request_env *env)
{
    struct fw_list *pos;
    int n = 0;
    int pick;

    FW_LIST_EACH (pos, &env->ops) {
        n++;
    }
    if (n == 0) {
        return NULL;
    }
    pick = g_rand_int_range(env->run->rand, 0, n);
    FW_LIST_EACH (pos, &env->ops) {
        if (pick-- == 0) {
            break;
        }
    }
    return FW_LIST_ENTRY(pos, struct fw_request_env_op, link);
}
