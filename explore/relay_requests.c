/*
 * relayed-once-true: a request that is not idempotent runs at most once; one
 * that was refused with 503 has not run and never does; each request ends
 * exactly once; and requests that have ended leave no load counted at any
 * server.
 */
#include "explore/p_relay.h"
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
 * @once: it must not run more than once
 * @runs: times that a server has run it
 * @over: it has ended
 * @refused: it was refused with 503
 */
struct request_state {
    int once;
    int runs;
    int over;
    int refused;
};

/** struct pending - an upstream call; @begun: its response has begun. */
struct pending {
    struct fw_rl_upstream_call call;
    int begun;
};

/**
 * struct req_world - the relay under test and its simulated surroundings.
 * @pending: of struct pending
 * @requests: by request id; @n: used elements
 * @held: names of reservations and KV caches that engines hold
 */
struct req_world {
    struct fw_run *run;
    struct fw_relay *r;
    struct fw_rl_actions acts;
    int64_t now_us;
    GPtrArray *pending;
    struct request_state requests[FW_REQUESTS_MAX];
    int n;
    GHashTable *held;
};

static int
random_below(struct req_world *w, int n)
{
    return g_rand_int_range(w->run->rand, 0, n);
}

static void
record_end(struct req_world *w, uint64_t call, int refused, const char *what)
{
    struct request_state *state = &w->requests[call];

    if (state->over) {
        Fw_Run_Fail(w->run, "request %d ended twice, now %s", (int)call, what);
    }
    state->over = 1;
    state->refused = refused;
    if (refused && state->runs) {
        Fw_Run_Fail(w->run, "request %d refused as not run, but ran",
                    (int)call);
    }
}

static struct pending *
find_pending(struct req_world *w, uint64_t xid)
{
    for (guint i = 0; i < w->pending->len; i++) {
        struct pending *p = g_ptr_array_index(w->pending, i);

        if (p->call.xid == xid) {
            return p;
        }
    }
    return NULL;
}

static void
apply_action(struct req_world *w, const struct fw_rl_action *a)
{
    struct pending *p;

    switch (a->kind) {
    case FW_RL_DO_CALL:
        p = g_new0(struct pending, 1);
        p->call = a->u.upstream_call;
        g_ptr_array_add(w->pending, p);
        break;
    case FW_RL_DO_CANCEL_CALL:
        p = find_pending(w, a->u.xid);
        if (p) {
            g_ptr_array_remove(w->pending, p);
        }
        break;
    case FW_RL_DO_REJECT:
        record_end(w, a->u.rejection.call, a->u.rejection.status == 503,
                   "refused");
        break;
    case FW_RL_DO_FINISH:
        record_end(w, a->u.call, 0, "finished");
        break;
    case FW_RL_DO_ABORT:
        record_end(w, a->u.call, 0, "cut");
        break;
    default:
        break;
    }
}

static void
apply_actions(struct req_world *w)
{
    for (guint i = 0; i < w->acts.all->len; i++) {
        struct fw_rl_action a =
            g_array_index(w->acts.all, struct fw_rl_action, i);

        apply_action(w, &a);
    }
    g_array_set_size(w->acts.all, 0);
}

static void
record_run(struct req_world *w, uint64_t call)
{
    struct request_state *state = &w->requests[call];

    state->runs++;
    if (state->once && state->runs > 1) {
        Fw_Run_Fail(w->run, "request %d ran twice", (int)call);
    }
    if (state->refused) {
        Fw_Run_Fail(w->run, "request %d ran after it was refused", (int)call);
    }
}

static void
allocate(struct req_world *w, struct fw_rl_upstream_response *a,
         const char *prefix)
{
    static int last_id;

    g_snprintf(a->handle, sizeof(a->handle), "%s%d", prefix, ++last_id);
    g_hash_table_add(w->held, g_strdup(a->handle));
}

/* A run consumes its reservation and KV cache. */
static void
consume(struct req_world *w, const struct fw_rl_upstream_call *c)
{
    g_hash_table_remove(w->held, c->reservation);
    g_hash_table_remove(w->held, c->kv_handle);
}

static void
respond_to_run(struct req_world *w, struct pending *p)
{
    struct fw_rl_upstream_response a = {.status =
                                            random_below(w, 5) ? 200 : 500};
    uint64_t xid = p->call.xid;

    if (!p->begun && random_below(w, 6) == 0) {
        a.status = 503;
        a.not_run = 1;
    }
    else if (!p->begun) {
        record_run(w, p->call.call);
        consume(w, &p->call);
        if (!p->call.buffer_response) {
            p->begun = 1;
            Fw_Relay_ResponseBegan(w->r, xid, &a, w->now_us, &w->acts);
            return;
        }
    }
    g_ptr_array_remove(w->pending, p);
    Fw_Relay_ResponseEnded(w->r, xid, &a, w->now_us, &w->acts);
}

static void
fail_call(struct req_world *w, struct pending *p)
{
    uint64_t xid = p->call.xid;
    int sent = p->begun || random_below(w, 3) > 0;

    if (sent && p->call.kind == FW_RL_UP_RUN && !p->begun &&
        random_below(w, 2)) {
        record_run(w, p->call.call); /* it ran, but the response is lost */
        consume(w, &p->call);
    }
    g_ptr_array_remove(w->pending, p);
    Fw_Relay_UpstreamFailed(w->r, xid, sent ? -ECONNRESET : -ECONNREFUSED,
                            sent, w->now_us, &w->acts);
}

static void
advance_call(struct req_world *w, struct pending *p)
{
    struct fw_rl_upstream_response a = {.status = 200};
    uint64_t xid = p->call.xid;

    if (random_below(w, 8) == 0) {
        fail_call(w, p);
        return;
    }
    switch (p->call.kind) {
    case FW_RL_UP_RUN:
        respond_to_run(w, p);
        return;
    case FW_RL_UP_RESERVE:
        a.status = random_below(w, 4) ? 200 : 503;
        if (a.status == 200) {
            allocate(w, &a, "h");
        }
        break;
    case FW_RL_UP_PREFILL:
        a.status = random_below(w, 8) ? 200 : 503;
        a.not_run = a.status != 200;
        if (a.status == 200) {
            allocate(w, &a, "k");
        }
        break;
    case FW_RL_UP_RELEASE:
        g_hash_table_remove(w->held, p->call.reservation);
        break;
    case FW_RL_UP_FREE_KV:
        g_hash_table_remove(w->held, p->call.kv_handle);
        break;
    case FW_RL_UP_REPORT:
    case FW_RL_UP_SET_STAGE:
        break;
    }
    g_ptr_array_remove(w->pending, p);
    Fw_Relay_ResponseEnded(w->r, xid, &a, w->now_us, &w->acts);
}

static void
open_request(struct req_world *w)
{
    static const char *const paths[] = {"/read/", "/order/", "/gen/"};
    int kind = random_below(w, 3);
    struct fw_rl_request_info ask = {.host = "h",
                                     .tokens_in = kind == 2 ? 1000 : -1,
                                     .tokens_out_max = kind == 2 ? 1000 : -1,
                                     .fingerprint = (uint64_t)w->n};
    uint64_t id = (uint64_t)w->n++;

    w->requests[id].once = kind != 0;
    g_strlcpy(ask.path, paths[kind], sizeof(ask.path));
    g_snprintf(ask.id, sizeof(ask.id), "%d", (int)id);
    Fw_Relay_Open(w->r, id, &ask, w->now_us, &w->acts);
}

static void
disconnect_caller(struct req_world *w)
{
    uint64_t id = (uint64_t)random_below(w, w->n);

    if (!w->requests[id].over) {
        record_end(w, id, 0, "left");
        Fw_Relay_CallerLeft(w->r, id, w->now_us, &w->acts);
    }
}

static void
update_server(struct req_world *w, int i, int born)
{
    struct fw_rl_server_entry e = {
        .slots = 4,
        .born_ms = born,
        .stage = i < FW_PLAIN_SERVERS ? FW_RL_STAGE_NONE
                 : i < FW_PLAIN_SERVERS + FW_DECODE_ENGINES
                     ? FW_RL_STAGE_DECODE
                     : FW_RL_STAGE_PREFILL};

    g_snprintf(e.id, sizeof(e.id), "s%d", i);
    g_snprintf(e.addr, sizeof(e.addr), "10.0.0.%d:1", i + 1);
    g_strlcpy(e.service, i < FW_PLAIN_SERVERS ? "plain" : "llm",
              sizeof(e.service));
    Fw_Relay_UpdateServer(w->r, e.id, &e, w->now_us, &w->acts);
}

static void
add_route(struct fw_rl_rules *rules, const char *prefix,
          enum fw_rl_route_kind kind)
{
    struct fw_rl_route_rule *r = Fw_Rules_AddRoute(rules);

    g_strlcpy(r->host, "h", sizeof(r->host));
    g_strlcpy(r->prefix, prefix, sizeof(r->prefix));
    r->kind = kind;
    r->timeout_us = 4 * FW_SEC;
    r->attempts = 2;
    r->anonymous = 1;
    r->generates = kind == FW_RL_STREAM;
    r->n_targets = 1;
    r->targets[0].weight = 1;
    g_strlcpy(r->targets[0].service, r->generates ? "llm" : "plain",
              FW_NAME_MAX);
}

static void
world_init(struct req_world *w, struct fw_run *run)
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

    *w = (struct req_world){.run = run, .now_us = 1000 * FW_SEC};
    w->r = Fw_Relay_New(&o, w->now_us);
    w->pending = g_ptr_array_new_with_free_func(g_free);
    w->held = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
    Fw_RelayActions_Init(&w->acts);
    rules->version = 1;
    add_route(rules, "/read/", FW_RL_IDEMPOTENT);
    add_route(rules, "/order/", FW_RL_NON_IDEMPOTENT);
    add_route(rules, "/gen/", FW_RL_STREAM);
    g_strlcpy(Fw_Rules_AddService(rules)->name, "plain", FW_NAME_MAX);
    s = Fw_Rules_AddService(rules);
    g_strlcpy(s->name, "llm", FW_NAME_MAX);
    s->has_engines = 1;
    s->engine = (struct fw_rl_engine_spec){
        .slots = 8, .kv_tokens = 8000, .reservation_ttl_us = 2 * FW_SEC};
    Fw_Rules_Index(rules);
    Fw_Relay_SetRules(w->r, rules, 1, w->now_us, &w->acts);
    Fw_Rules_Unref(rules);
    for (int i = 0; i < FW_SERVERS; i++) {
        update_server(w, i, 1);
    }
}

static void
step(struct req_world *w)
{
    w->now_us += random_below(w, 60) * FW_MSEC;
    if (w->n < FW_REQUESTS_MAX && random_below(w, 3) == 0) {
        open_request(w);
        apply_actions(w);
    }
    if (w->n && random_below(w, 30) == 0) {
        disconnect_caller(w);
        apply_actions(w);
    }
    if (random_below(w, 120) == 0) {
        update_server(w, random_below(w, FW_SERVERS), random_below(w, 1000));
        apply_actions(w);
    }
    if (w->pending->len) {
        advance_call(
            w, g_ptr_array_index(
                   w->pending, (guint)random_below(w, (int)w->pending->len)));
        apply_actions(w);
    }
    Fw_Relay_Tick(w->r, w->now_us, &w->acts);
    apply_actions(w);
}

/* Once all requests have ended no server may have load counted. */
static void
check_final_state(struct req_world *w)
{
    struct fw_list *pos;

    FW_LIST_EACH (pos, &w->r->servers) {
        const struct fw_rl_server *s =
            FW_LIST_ENTRY(pos, struct fw_rl_server, link);

        if (s->running || s->kv_tokens || s->prefill_tokens) {
            Fw_Run_Fail(w->run, "%s still counts %d running, %d tokens",
                        s->entry.id, s->running, (int)s->kv_tokens);
        }
    }
    for (int i = 0; i < w->n; i++) {
        if (!w->requests[i].over) {
            Fw_Run_Fail(w->run, "request %d never ended", i);
        }
    }
}

void
Fw_Explore_RelayRequests(struct fw_run *run)
{
    struct req_world *w = g_new0(struct req_world, 1);

    world_init(w, run);
    apply_actions(w);
    for (int s = 0; s < run->steps && !run->failure[0]; s++) {
        step(w);
    }
    for (int s = 0; s < 400 && !run->failure[0]; s++) {
        w->now_us += 50 * FW_MSEC;
        if (w->pending->len) {
            advance_call(w, g_ptr_array_index(w->pending, 0));
        }
        apply_actions(w);
        Fw_Relay_Tick(w->r, w->now_us, &w->acts);
        apply_actions(w);
    }
    if (!run->failure[0]) {
        check_final_state(w);
    }
    Fw_Run_Trace(run, "%d requests", w->n);
    Fw_RelayActions_Clear(&w->acts);
    Fw_Relay_Free(w->r);
    g_ptr_array_unref(w->pending);
    g_hash_table_destroy(w->held);
    g_free(w);
}
