/*
 * relayed-once-true: a request that is not idempotent runs at most once; one
 * that was refused with 503 has not run and never does; each request ends
 * exactly once; and requests that have ended leave no load counted at any
 * server.
 */
#include "explore/p_relay.h"
#include "explore/relay_call.h"
#include "relay/relay_internal.h"

#include <errno.h>
#include <string.h>

#define FW_REQUESTS_MAX 6000
#define FW_PLAIN_SERVERS 3
#define FW_DECODE_ENGINES 3
#define FW_PREFILL_ENGINES 2
#define FW_SERVERS (FW_PLAIN_SERVERS + FW_DECODE_ENGINES + FW_PREFILL_ENGINES)

/**
 * struct request_state - what happened to a request.
 * @at_most_once: it must not run more than once
 * @runs: times that a server has run it
 * @ended: it has ended
 * @refused: it was refused with 503
 */
struct request_state {
    int at_most_once;
    int runs;
    int ended;
    int refused;
};

/** struct pending - an upstream call; @begun: its response has begun. */
struct pending {
    struct fw_rl_upstream_call call;
    int begun;
};

/**
 * struct request_env - the relay under test and its simulated environment.
 * @pending: of struct pending
 * @requests: by request id; @n_requests: used elements
 * @held: names of reservations and KV caches that engines hold
 */
struct request_env {
    struct fw_run *run;
    struct fw_relay *relay;
    struct fw_rl_actions acts;
    int64_t now_us;
    GPtrArray *pending;
    struct request_state requests[FW_REQUESTS_MAX];
    int n_requests;
    GHashTable *held;
};

static int
random_below(struct request_env *env, int n)
{
    return g_rand_int_range(env->run->rand, 0, n);
}

static void
record_end(struct request_env *env, uint64_t call, int refused,
           const char *what)
{
    struct request_state *state = &env->requests[call];

    if (state->ended) {
        Fw_Run_Fail(env->run, "request %d ended twice, now %s", (int)call,
                    what);
    }
    state->ended = 1;
    state->refused = refused;
    if (refused && state->runs) {
        Fw_Run_Fail(env->run, "request %d refused as not run, but ran",
                    (int)call);
    }
}

static struct pending *
find_pending(struct request_env *env, uint64_t xid)
{
    for (guint i = 0; i < env->pending->len; i++) {
        struct pending *p = g_ptr_array_index(env->pending, i);

        if (p->call.xid == xid) {
            return p;
        }
    }
    return NULL;
}

static void
apply_action(struct request_env *env, const struct fw_rl_action *action)
{
    struct pending *p;

    switch (action->kind) {
    case FW_RL_DO_CALL:
        p = g_new0(struct pending, 1);
        p->call = Fw_RelayCall_Copy(&action->u.upstream_call);
        g_ptr_array_add(env->pending, p);
        break;
    case FW_RL_DO_CANCEL_CALL:
        p = find_pending(env, action->u.xid);
        if (p) {
            g_ptr_array_remove(env->pending, p);
        }
        break;
    case FW_RL_DO_REJECT:
        record_end(env, action->u.rejection.call,
                   action->u.rejection.status == 503, "refused");
        break;
    case FW_RL_DO_FINISH:
        record_end(env, action->u.call, 0, "finished");
        break;
    case FW_RL_DO_ABORT:
        record_end(env, action->u.call, 0, "cut");
        break;
    default:
        break;
    }
}

static void
apply_actions(struct request_env *env)
{
    for (guint i = 0; i < env->acts.all->len; i++) {
        struct fw_rl_action action =
            g_array_index(env->acts.all, struct fw_rl_action, i);

        apply_action(env, &action);
    }
    g_array_set_size(env->acts.all, 0);
}

static void
record_run(struct request_env *env, uint64_t call)
{
    struct request_state *state = &env->requests[call];

    state->runs++;
    if (state->at_most_once && state->runs > 1) {
        Fw_Run_Fail(env->run, "request %d ran twice", (int)call);
    }
    if (state->refused) {
        Fw_Run_Fail(env->run, "request %d ran after it was refused",
                    (int)call);
    }
}

static void
allocate(struct request_env *env, struct fw_rl_upstream_response *response,
         const char *prefix)
{
    static int last_id;

    g_snprintf(response->handle, sizeof(response->handle), "%s%d", prefix,
               ++last_id);
    g_hash_table_add(env->held, g_strdup(response->handle));
}

/* A run consumes its reservation and KV cache. */
static void
consume(struct request_env *env, const struct fw_rl_upstream_call *c)
{
    g_hash_table_remove(env->held, c->reservation);
    g_hash_table_remove(env->held, c->kv_handle);
}

static void
respond_to_run(struct request_env *env, struct pending *p)
{
    struct fw_rl_upstream_response response = {
        .status = random_below(env, 5) ? 200 : 500};
    uint64_t xid = p->call.xid;

    if (!p->begun && random_below(env, 6) == 0) {
        response.status = 503;
        response.not_run = 1;
    }
    else if (!p->begun) {
        record_run(env, p->call.call);
        consume(env, &p->call);
        if (!p->call.buffer_response) {
            p->begun = 1;
            Fw_Relay_ResponseBegan(env->relay, xid, &response, env->now_us,
                                   &env->acts);
            return;
        }
    }
    g_ptr_array_remove(env->pending, p);
    Fw_Relay_ResponseEnded(env->relay, xid, &response, env->now_us,
                           &env->acts);
}

static void
fail_call(struct request_env *env, struct pending *p)
{
    uint64_t xid = p->call.xid;
    int sent = p->begun || random_below(env, 3) > 0;

    if (sent && p->call.kind == FW_RL_UP_RUN && !p->begun &&
        random_below(env, 2)) {
        record_run(env, p->call.call); /* it ran, but the response is lost */
        consume(env, &p->call);
    }
    g_ptr_array_remove(env->pending, p);
    Fw_Relay_UpstreamFailed(env->relay, xid,
                            sent ? -ECONNRESET : -ECONNREFUSED, sent,
                            env->now_us, &env->acts);
}

static void
advance_call(struct request_env *env, struct pending *p)
{
    struct fw_rl_upstream_response response = {.status = 200};
    uint64_t xid = p->call.xid;

    if (random_below(env, 8) == 0) {
        fail_call(env, p);
        return;
    }
    switch (p->call.kind) {
    case FW_RL_UP_RUN:
        respond_to_run(env, p);
        return;
    case FW_RL_UP_RESERVE:
        response.status = random_below(env, 4) ? 200 : 503;
        if (response.status == 200) {
            allocate(env, &response, "h");
        }
        break;
    case FW_RL_UP_PREFILL:
        response.status = random_below(env, 8) ? 200 : 503;
        response.not_run = response.status != 200;
        if (response.status == 200) {
            allocate(env, &response, "k");
        }
        break;
    case FW_RL_UP_RELEASE:
        g_hash_table_remove(env->held, p->call.reservation);
        break;
    case FW_RL_UP_FREE_KV:
        g_hash_table_remove(env->held, p->call.kv_handle);
        break;
    case FW_RL_UP_REPORT:
    case FW_RL_UP_SET_STAGE:
    case FW_RL_UP_PROBE:
    case FW_RL_UP_HANDOVER: /* not by a single instance */
        break;
    }
    g_ptr_array_remove(env->pending, p);
    Fw_Relay_ResponseEnded(env->relay, xid, &response, env->now_us,
                           &env->acts);
}

static void
open_request(struct request_env *env)
{
    static const char *const paths[] = {"/read/", "/order/", "/gen/"};
    int kind = random_below(env, 3);
    char text[24];
    struct fw_rl_request_info request = {
        .host = "h",
        .tokens_in = kind == 2 ? 1000 : -1,
        .tokens_out_max = kind == 2 ? 1000 : -1,
        .fingerprint = (uint64_t)env->n_requests};
    uint64_t id = (uint64_t)env->n_requests++;

    env->requests[id].at_most_once = kind != 0;
    request.path = paths[kind];
    g_snprintf(text, sizeof(text), "%d", (int)id);
    request.id = text;
    Fw_Relay_Open(env->relay, id, &request, env->now_us, &env->acts);
}

static void
disconnect_caller(struct request_env *env)
{
    uint64_t id = (uint64_t)random_below(env, env->n_requests);

    if (!env->requests[id].ended) {
        record_end(env, id, 0, "left");
        Fw_Relay_CallerLeft(env->relay, id, env->now_us, &env->acts);
    }
}

static void
update_server(struct request_env *env, int i, int born)
{
    struct fw_rl_server_entry e = {
        .slots = 4,
        .born_ms = born,
        .stage = i < FW_PLAIN_SERVERS ? FW_RL_STAGE_NONE
                 : i < FW_PLAIN_SERVERS + FW_DECODE_ENGINES
                     ? FW_RL_STAGE_DECODE
                     : FW_RL_STAGE_PREFILL};

    e.id = Fw_Run_Name("s%d", i);
    g_snprintf(e.addr, sizeof(e.addr), "10.0.0.%d:1", i + 1);
    e.service = i < FW_PLAIN_SERVERS ? "plain" : "llm";
    Fw_Relay_UpdateServer(env->relay, e.id, &e, env->now_us, &env->acts);
}

static void
add_route(struct fw_rl_rules *rules, const char *prefix,
          enum fw_rl_route_kind kind)
{
    struct fw_rl_route_rule *r = Fw_Rules_AddRoute(rules);

    r->host = "h";
    r->prefix = prefix;
    r->kind = kind;
    r->timeout_us = 4 * FW_SEC;
    r->attempts = 2;
    r->anonymous = 1;
    r->generates = kind == FW_RL_STREAM;
    Fw_Rules_SetTarget(rules, r, r->generates ? "llm" : "plain");
}

static void
init_env(struct request_env *env, struct fw_run *run)
{
    struct fw_rl_rules *rules = Fw_Rules_New();
    struct fw_rl_service_rule *s;
    struct fw_relay_opts o = {.name = "n",
                              .boot = 1,
                              .seed = g_rand_int(run->rand),
                              .retry_ratio_ppm = 500000,
                              .retry_extra = 1000,
                              .retry_window_us = 10 * FW_SEC,
                              .key_stale_us = 3600 * FW_SEC,
                              .queue_limit_us = 500 * FW_MSEC,
                              .local_prefill_us = 600 * FW_MSEC,
                              .reserve_permille = 1000,
                              .prefill_permille = 400,
                              .lease_us = 3 * FW_SEC,
                              .grace_us = 8 * FW_SEC,
                              .log_level = 0};

    *env = (struct request_env){.run = run, .now_us = 1000 * FW_SEC};
    env->relay = Fw_Relay_New(&o, env->now_us);
    env->pending = g_ptr_array_new_with_free_func(g_free);
    env->held = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
    Fw_RelayActions_Init(&env->acts);
    rules->version = 1;
    add_route(rules, "/read/", FW_RL_IDEMPOTENT);
    add_route(rules, "/order/", FW_RL_NON_IDEMPOTENT);
    add_route(rules, "/gen/", FW_RL_STREAM);
    Fw_Rules_AddService(rules)->name = "plain";
    s = Fw_Rules_AddService(rules);
    s->name = "llm";
    s->has_engines = 1;
    s->engine = (struct fw_rl_engine_spec){
        .slots = 8, .kv_tokens = 8000, .reservation_ttl_us = 2 * FW_SEC};
    Fw_Rules_Index(rules);
    Fw_Relay_SetRules(env->relay, rules, 1, env->now_us, &env->acts);
    Fw_Rules_Unref(rules);
    for (int i = 0; i < FW_SERVERS; i++) {
        update_server(env, i, 1);
    }
}

static void
step(struct request_env *env)
{
    env->now_us += random_below(env, 60) * FW_MSEC;
    if (env->n_requests < FW_REQUESTS_MAX && random_below(env, 3) == 0) {
        open_request(env);
        apply_actions(env);
    }
    if (env->n_requests && random_below(env, 30) == 0) {
        disconnect_caller(env);
        apply_actions(env);
    }
    if (random_below(env, 120) == 0) {
        int change = random_below(env, 1000);

        update_server(env, random_below(env, FW_SERVERS), change);
        apply_actions(env);
    }
    if (env->pending->len) {
        advance_call(env, g_ptr_array_index(env->pending,
                                            (guint)random_below(
                                                env, (int)env->pending->len)));
        apply_actions(env);
    }
    Fw_Relay_Tick(env->relay, env->now_us, &env->acts);
    apply_actions(env);
}

/* Once all requests have ended no server may have load counted. */
static void
check_final_state(struct request_env *env)
{
    struct fw_list *pos;

    FW_LIST_EACH (pos, &env->relay->servers) {
        const struct fw_rl_server *s =
            FW_LIST_ENTRY(pos, struct fw_rl_server, link);

        if (s->running || s->kv_tokens || s->prefill_tokens) {
            Fw_Run_Fail(env->run, "%s still counts %d running, %d tokens",
                        s->entry.id, s->running, (int)s->kv_tokens);
        }
    }
    for (int i = 0; i < env->n_requests; i++) {
        if (!env->requests[i].ended) {
            Fw_Run_Fail(env->run, "request %d never ended", i);
        }
    }
}

void
Fw_Explore_RelayRequests(struct fw_run *run)
{
    struct request_env *env = g_new0(struct request_env, 1);

    init_env(env, run);
    apply_actions(env);
    for (int s = 0; s < run->steps && !run->failure[0]; s++) {
        step(env);
    }
    for (int s = 0; s < 400 && !run->failure[0]; s++) {
        env->now_us += 50 * FW_MSEC;
        if (env->pending->len) {
            advance_call(env, g_ptr_array_index(env->pending, 0));
        }
        apply_actions(env);
        Fw_Relay_Tick(env->relay, env->now_us, &env->acts);
        apply_actions(env);
    }
    if (!run->failure[0]) {
        check_final_state(env);
    }
    Fw_Run_Trace(run, "%d requests", env->n_requests);
    Fw_RelayActions_Clear(&env->acts);
    Fw_Relay_Free(env->relay);
    g_ptr_array_unref(env->pending);
    g_hash_table_destroy(env->held);
    g_free(env);
}
