/*
 * relayed-once-true: a request that must not be repeated runs at most once;
 * one that was refused as not run has not run and never does; each request
 * gets one end; and nothing stays counted or held for requests that are over.
 */
#include "explore/p_relay.h"
#include "relay/relay_internal.h"

#include <errno.h>
#include <string.h>

#define FW_CALLS_MAX 6000
#define FW_PLAIN 3
#define FW_DECODE 3
#define FW_PREFILL 2
#define FW_SERVERS (FW_PLAIN + FW_DECODE + FW_PREFILL)

/** struct told - a request: how often it ran and how it ended. */
struct told {
    int once;
    int runs;
    int over;
    int refused;
};

/** struct pending - a call to an upstream that was not answered yet. */
struct pending {
    struct fw_rl_up_call call;
    int begun;
};

struct req_world {
    struct fw_run *run;
    struct fw_relay *r;
    struct fw_rl_acts acts;
    int64_t now_us;
    GPtrArray *pending;
    struct told told[FW_CALLS_MAX];
    int n;
    GHashTable *names; /* reservations and caches that are held */
};

static int
below(struct req_world *w, int n)
{
    return g_rand_int_range(w->run->rand, 0, n);
}

static void
end(struct req_world *w, uint64_t call, int refused, const char *what)
{
    struct told *t = &w->told[call];

    if (t->over) {
        Fw_Run_Breach(w->run, "request %d ended twice, now %s", (int)call,
                      what);
    }
    t->over = 1;
    t->refused = refused;
    if (refused && t->runs) {
        Fw_Run_Breach(w->run, "request %d refused as not run, but ran",
                      (int)call);
    }
}

static struct pending *
find(struct req_world *w, uint64_t xid)
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
do_act(struct req_world *w, const struct fw_rl_act *a)
{
    struct pending *p;

    switch (a->kind) {
    case FW_RL_DO_ASK:
        p = g_new0(struct pending, 1);
        p->call = a->u.ask;
        g_ptr_array_add(w->pending, p);
        break;
    case FW_RL_DO_STOP_ASK:
        p = find(w, a->u.xid);
        if (p) {
            g_ptr_array_remove(w->pending, p);
        }
        break;
    case FW_RL_DO_REFUSE:
        end(w, a->u.refuse.call, a->u.refuse.status == 503, "refused");
        break;
    case FW_RL_DO_FINISH:
        end(w, a->u.call, 0, "finished");
        break;
    case FW_RL_DO_CUT:
        end(w, a->u.call, 0, "cut");
        break;
    default:
        break;
    }
}

static void
carry_out(struct req_world *w)
{
    for (guint i = 0; i < w->acts.all->len; i++) {
        struct fw_rl_act a = g_array_index(w->acts.all, struct fw_rl_act, i);

        do_act(w, &a);
    }
    g_array_set_size(w->acts.all, 0);
}

static void
runs(struct req_world *w, uint64_t call)
{
    struct told *t = &w->told[call];

    t->runs++;
    if (t->once && t->runs > 1) {
        Fw_Run_Breach(w->run, "request %d ran twice", (int)call);
    }
    if (t->refused) {
        Fw_Run_Breach(w->run, "request %d ran after it was refused",
                      (int)call);
    }
}

static void
hold(struct req_world *w, struct fw_rl_up_answer *a, const char *kind)
{
    static int last;

    g_snprintf(a->name, sizeof(a->name), "%s%d", kind, ++last);
    g_hash_table_add(w->names, g_strdup(a->name));
}

/* What a run used up at the engines. */
static void
use(struct req_world *w, const struct fw_rl_up_call *c)
{
    g_hash_table_remove(w->names, c->hold);
    g_hash_table_remove(w->names, c->kv);
}

static void
answer_run(struct req_world *w, struct pending *p)
{
    struct fw_rl_up_answer a = {.status = below(w, 5) ? 200 : 500};
    uint64_t xid = p->call.xid;

    if (!p->begun && below(w, 6) == 0) {
        a.status = 503;
        a.not_run = 1;
    }
    else if (!p->begun) {
        runs(w, p->call.call);
        use(w, &p->call);
        if (!p->call.whole) {
            p->begun = 1;
            Fw_Relay_Begun(w->r, xid, &a, w->now_us, &w->acts);
            return;
        }
    }
    g_ptr_array_remove(w->pending, p);
    Fw_Relay_Answered(w->r, xid, &a, w->now_us, &w->acts);
}

static void
fail(struct req_world *w, struct pending *p)
{
    uint64_t xid = p->call.xid;
    int sent = p->begun || below(w, 3) > 0;

    if (sent && p->call.kind == FW_RL_UP_RUN && !p->begun && below(w, 2)) {
        runs(w, p->call.call); /* its answer is lost */
        use(w, &p->call);
    }
    g_ptr_array_remove(w->pending, p);
    Fw_Relay_Failed(w->r, xid, sent ? -ECONNRESET : -ECONNREFUSED, sent,
                    w->now_us, &w->acts);
}

static void
progress(struct req_world *w, struct pending *p)
{
    struct fw_rl_up_answer a = {.status = 200};
    uint64_t xid = p->call.xid;

    if (below(w, 8) == 0) {
        fail(w, p);
        return;
    }
    switch (p->call.kind) {
    case FW_RL_UP_RUN:
        answer_run(w, p);
        return;
    case FW_RL_UP_HOLD:
        a.status = below(w, 4) ? 200 : 503;
        if (a.status == 200) {
            hold(w, &a, "h");
        }
        break;
    case FW_RL_UP_PREFILL:
        a.status = below(w, 8) ? 200 : 503;
        a.not_run = a.status != 200;
        if (a.status == 200) {
            hold(w, &a, "k");
        }
        break;
    case FW_RL_UP_DROP_HOLD:
        g_hash_table_remove(w->names, p->call.hold);
        break;
    case FW_RL_UP_DROP_KV:
        g_hash_table_remove(w->names, p->call.kv);
        break;
    case FW_RL_UP_REPORT:
    case FW_RL_UP_STAGE:
        break;
    }
    g_ptr_array_remove(w->pending, p);
    Fw_Relay_Answered(w->r, xid, &a, w->now_us, &w->acts);
}

static void
open_one(struct req_world *w)
{
    static const char *const paths[] = {"/read/", "/order/", "/gen/"};
    int kind = below(w, 3);
    struct fw_rl_ask ask = {.host = "h",
                            .tokens_in = kind == 2 ? 1000 : -1,
                            .tokens_out = kind == 2 ? 1000 : -1,
                            .digest = (uint64_t)w->n};
    uint64_t id = (uint64_t)w->n++;

    w->told[id].once = kind != 0;
    g_strlcpy(ask.path, paths[kind], sizeof(ask.path));
    g_snprintf(ask.id, sizeof(ask.id), "%d", (int)id);
    Fw_Relay_Open(w->r, id, &ask, w->now_us, &w->acts);
}

static void
leave_one(struct req_world *w)
{
    uint64_t id = (uint64_t)below(w, w->n);

    if (!w->told[id].over) {
        end(w, id, 0, "left");
        Fw_Relay_Gone(w->r, id, w->now_us, &w->acts);
    }
}

static void
list_server(struct req_world *w, int i, int born)
{
    struct fw_rl_server_entry e = {.slots = 4,
                                   .born_ms = born,
                                   .stage = i < FW_PLAIN ? FW_RL_STAGE_NONE
                                            : i < FW_PLAIN + FW_DECODE
                                                ? FW_RL_STAGE_DECODE
                                                : FW_RL_STAGE_PREFILL};

    g_snprintf(e.id, sizeof(e.id), "s%d", i);
    g_snprintf(e.addr, sizeof(e.addr), "10.0.0.%d:1", i + 1);
    g_strlcpy(e.service, i < FW_PLAIN ? "plain" : "llm", sizeof(e.service));
    Fw_Relay_Server(w->r, e.id, &e, w->now_us, &w->acts);
}

static void
add_route(struct fw_rl_rules *rules, const char *prefix, enum fw_rl_kind kind)
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
                              .queue_us = 500 * FW_MSEC,
                              .read_here_us = 600 * FW_MSEC,
                              .reserve_permille = 1000,
                              .prefill_permille = 400,
                              .lease_us = 3 * FW_SEC,
                              .grace_us = 8 * FW_SEC,
                              .log_level = 0};

    *w = (struct req_world){.run = run, .now_us = 1000 * FW_SEC};
    w->r = Fw_Relay_New(&o, w->now_us);
    w->pending = g_ptr_array_new_with_free_func(g_free);
    w->names = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
    Fw_Acts_Init(&w->acts);
    rules->version = 1;
    add_route(rules, "/read/", FW_RL_IDEMPOTENT);
    add_route(rules, "/order/", FW_RL_ONCE);
    add_route(rules, "/gen/", FW_RL_STREAM);
    g_strlcpy(Fw_Rules_AddService(rules)->name, "plain", FW_NAME_MAX);
    s = Fw_Rules_AddService(rules);
    g_strlcpy(s->name, "llm", FW_NAME_MAX);
    s->engines = 1;
    s->engine = (struct fw_rl_engine_spec){
        .slots = 8, .kv_tokens = 8000, .hold_us = 2 * FW_SEC};
    Fw_Rules_Index(rules);
    Fw_Relay_Rules(w->r, rules, 1, w->now_us, &w->acts);
    Fw_Rules_Unref(rules);
    for (int i = 0; i < FW_SERVERS; i++) {
        list_server(w, i, 1);
    }
}

static void
step(struct req_world *w)
{
    w->now_us += below(w, 60) * FW_MSEC;
    if (w->n < FW_CALLS_MAX && below(w, 3) == 0) {
        open_one(w);
        carry_out(w);
    }
    if (w->n && below(w, 30) == 0) {
        leave_one(w);
        carry_out(w);
    }
    if (below(w, 120) == 0) {
        list_server(w, below(w, FW_SERVERS), below(w, 1000));
        carry_out(w);
    }
    if (w->pending->len) {
        progress(w, g_ptr_array_index(w->pending,
                                      (guint)below(w, (int)w->pending->len)));
        carry_out(w);
    }
    Fw_Relay_Tick(w->r, w->now_us, &w->acts);
    carry_out(w);
}

/* With no request left nothing may be counted or held any more. */
static void
check_rest(struct req_world *w)
{
    struct fw_list *pos;

    FW_LIST_EACH (pos, &w->r->servers) {
        const struct fw_rl_server *s =
            FW_LIST_ENTRY(pos, struct fw_rl_server, link);

        if (s->running || s->reserved || s->reading) {
            Fw_Run_Breach(w->run, "%s still counts %d running, %d tokens",
                          s->e.id, s->running, (int)s->reserved);
        }
    }
    for (int i = 0; i < w->n; i++) {
        if (!w->told[i].over) {
            Fw_Run_Breach(w->run, "request %d never ended", i);
        }
    }
}

void
Fw_Explore_RelayRequests(struct fw_run *run)
{
    struct req_world *w = g_new0(struct req_world, 1);

    world_init(w, run);
    carry_out(w);
    for (int s = 0; s < run->steps && !run->breach[0]; s++) {
        step(w);
    }
    for (int s = 0; s < 400 && !run->breach[0]; s++) {
        w->now_us += 50 * FW_MSEC;
        if (w->pending->len) {
            progress(w, g_ptr_array_index(w->pending, 0));
        }
        carry_out(w);
        Fw_Relay_Tick(w->r, w->now_us, &w->acts);
        carry_out(w);
    }
    if (!run->breach[0]) {
        check_rest(w);
    }
    Fw_Run_Trace(run, "%d requests", w->n);
    Fw_Acts_Clear(&w->acts);
    Fw_Relay_Free(w->r);
    g_ptr_array_unref(w->pending);
    g_hash_table_destroy(w->names);
    g_free(w);
}
