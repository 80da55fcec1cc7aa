#include "tests/relay/engines.h"
#include "explore/explore.h"

#include <math.h>
#include <string.h>

#include "base/hash.h"
#include "relay/relay_internal.h"

#define FW_STEP_MS 5
/* Interval between the engines' memory checks and the relay's ticks. */
#define FW_TICK_MS 20
#define FW_OBJECTIVE_MS 900
/* Maximum length of a prompt, in multiples of the mean. */
#define FW_MAX_PROMPT_FACTOR 2.2
#define FW_EVENT_TOKENS 13

/**
 * struct stream - a request.
 * @reserved_tokens: tokens reserved, until it runs
 * @ends_ms: when its answer ends, 0 until it runs
 * @preempted: it was preempted at least once
 * @preempted_ms: since when it is preempted, 0 if it is not
 * @is_over: it was rejected or has ended
 */
struct stream {
    uint64_t call;
    int64_t asked_ms;
    int64_t in;
    int64_t out;
    int64_t reserved_tokens;
    int64_t run_ms;
    int64_t ends_ms;
    uint64_t run_xid;
    int engine;
    int preempted;
    int64_t preempted_ms;
    int is_over;
};

/**
 * struct reply - a pending response of an engine.
 * @is_begin: only the response's headers, otherwise its end
 */
struct reply {
    uint64_t xid;
    int64_t at_ms;
    int is_begin;
    struct fw_rl_upstream_response ans;
};

/**
 * struct world - state of the simulation.
 * @prefill_end_ms: per prefill engine, when its queue is empty
 */
struct world {
    const struct fw_load_plan *plan;
    struct fw_load_result *res;
    struct fw_relay *r;
    struct fw_rl_actions acts;
    GRand *rand;
    GArray *streams;
    GArray *replies;
    int64_t now_ms;
    int64_t prefill_end_ms[FW_ENGINES_MAX];
};

static int64_t
now_us(const struct world *w)
{
    return (w->now_ms + 1000) * FW_MSEC;
}

static double
gaussian(GRand *rand)
{
    double sum = 0;

    for (int i = 0; i < 12; i++) {
        sum += g_rand_double(rand);
    }
    return sum - 6;
}

static double
log_normal(GRand *rand, double mean, double spread)
{
    return mean * exp(spread * gaussian(rand) - spread * spread / 2);
}

static struct stream *
find_stream(struct world *w, uint64_t call)
{
    return &g_array_index(w->streams, struct stream, call - 1);
}

static void
format_id(const struct stream *s, char id[FW_ID_MAX])
{
    g_snprintf(id, FW_ID_MAX, "r%d", (int)s->call);
}

static double
speed_of(const struct world *w, int engine)
{
    double speed = w->plan->speeds[engine % 3];

    return speed > 0 ? speed : 1;
}

/* Generation rate of a stream at its engine. */
static double
tokens_per_ms(const struct world *w, const struct stream *s)
{
    return w->plan->shape.decode_tokens_per_ms * speed_of(w, s->engine);
}

static int64_t
stream_tokens(const struct world *w, const struct stream *s)
{
    if (s->preempted_ms) {
        return 0;
    }
    if (!s->ends_ms || w->now_ms >= s->ends_ms) {
        return s->is_over ? 0 : s->reserved_tokens;
    }
    return s->in +
           (int64_t)((double)(w->now_ms - s->run_ms) * tokens_per_ms(w, s));
}

static int64_t
engine_tokens(struct world *w, int engine)
{
    int64_t sum = 0;

    for (guint i = 0; i < w->streams->len; i++) {
        const struct stream *s = &g_array_index(w->streams, struct stream, i);

        sum += s->engine == engine ? stream_tokens(w, s) : 0;
    }
    return sum;
}

static struct fw_rl_upstream_response *
add_reply(struct world *w, uint64_t xid, int64_t at_ms, int is_begin)
{
    struct reply p = {.xid = xid, .at_ms = at_ms, .is_begin = is_begin};

    p.ans.status = 200;
    g_array_append_val(w->replies, p);
    return &g_array_index(w->replies, struct reply, w->replies->len - 1).ans;
}

static void
reserve(struct world *w, const struct fw_rl_upstream_call *u, int engine)
{
    struct stream *s = find_stream(w, u->call);
    struct fw_rl_upstream_response *a = add_reply(w, u->xid, w->now_ms + 2, 0);

    if (engine_tokens(w, engine) + u->tokens > w->plan->shape.kv_tokens) {
        a->status = 503;
        a->not_run = 1;
        return;
    }
    s->engine = engine;
    s->reserved_tokens = u->tokens;
    g_strlcpy(a->handle, "h", sizeof(a->handle));
}

static void
prefill_prompt(struct world *w, const struct fw_rl_upstream_call *u,
               int engine)
{
    const struct stream *s = find_stream(w, u->call);
    int64_t from = MAX(w->prefill_end_ms[engine], w->now_ms);

    w->prefill_end_ms[engine] =
        from + (int64_t)((double)s->in / w->plan->shape.prefill_tokens_per_ms /
                         speed_of(w, engine));
    g_strlcpy(add_reply(w, u->xid, w->prefill_end_ms[engine], 0)->handle, "k",
              FW_RL_HANDLE_MAX);
}

static void
run_stream(struct world *w, const struct fw_rl_upstream_call *u)
{
    struct stream *s = find_stream(w, u->call);

    s->run_xid = u->xid;
    s->run_ms = w->now_ms;
    s->ends_ms = w->now_ms + (int64_t)((double)s->out / tokens_per_ms(w, s));
    add_reply(w, u->xid, w->now_ms + 5, 1);
    add_reply(w, u->xid, s->ends_ms, 0)->events = s->out / FW_EVENT_TOKENS;
}

static void
report_streams(struct world *w, const struct fw_rl_upstream_call *u,
               int engine)
{
    struct fw_rl_upstream_response *a = add_reply(w, u->xid, w->now_ms + 2, 0);

    for (guint i = 0; i < w->streams->len; i++) {
        const struct stream *s = &g_array_index(w->streams, struct stream, i);
        struct fw_rl_stream_report *run = &a->streams[a->n_streams];
        char id[FW_ID_MAX];

        if (s->engine != engine || s->ends_ms <= w->now_ms ||
            a->n_streams == FW_RL_STREAM_REPORTS_MAX) {
            continue;
        }
        format_id(s, id);
        run->id = Fw_Hash_Str(id);
        run->tokens = stream_tokens(w, s);
        run->events = (run->tokens - s->in) / FW_EVENT_TOKENS;
        a->n_streams++;
    }
}

static void
handle_call(struct world *w, const struct fw_rl_upstream_call *u)
{
    int engine = u->server[1] - 'a';

    switch (u->kind) {
    case FW_RL_UP_RESERVE:
        reserve(w, u, engine);
        break;
    case FW_RL_UP_PREFILL:
        prefill_prompt(w, u, engine);
        break;
    case FW_RL_UP_RUN:
        run_stream(w, u);
        break;
    case FW_RL_UP_REPORT:
        report_streams(w, u, engine);
        break;
    case FW_RL_UP_RELEASE:
    case FW_RL_UP_FREE_KV:
    case FW_RL_UP_SET_STAGE:
    case FW_RL_UP_PROBE:
    case FW_RL_UP_HANDOVER:
        break;
    }
}

static void
carry_out_actions(struct world *w)
{
    for (guint i = 0; i < w->acts.all->len; i++) {
        struct fw_rl_action a =
            g_array_index(w->acts.all, struct fw_rl_action, i);

        if (a.kind == FW_RL_DO_CALL) {
            handle_call(w, &a.u.upstream_call);
        }
        else if (a.kind == FW_RL_DO_REJECT) {
            w->res->rejected++;
            find_stream(w, a.u.rejection.call)->is_over = 1;
        }
        else if (a.kind == FW_RL_DO_FINISH) {
            find_stream(w, a.u.call)->is_over = 1;
        }
    }
    g_array_set_size(w->acts.all, 0);
}

static void
send_request(struct world *w)
{
    const struct fw_load_shape *h = &w->plan->shape;
    struct stream s = {
        .call = w->streams->len + 1, .asked_ms = w->now_ms, .engine = -1};
    char id[FW_ID_MAX];
    struct fw_rl_request_info q = {
        .host = "h", .path = "/g/x", .key = "k", .last_event_id = -1};

    s.in = MIN((int64_t)log_normal(w->rand, h->mean_prompt, h->spread),
               (int64_t)(h->mean_prompt * FW_MAX_PROMPT_FACTOR));
    s.out = MIN((int64_t)log_normal(w->rand, h->mean_answer, h->spread),
                h->max_answer);
    format_id(&s, id);
    q.id = id;
    q.tokens_in = s.in;
    q.tokens_out_max = h->max_answer;
    q.tokens_out_hint =
        h->hint_spread < 0
            ? -1
            : (int64_t)log_normal(w->rand, (double)s.out, h->hint_spread);
    g_array_append_val(w->streams, s);
    w->res->requests++;
    if (w->plan->fixed_model) {
        Fw_ServiceStats_Get(w->r, "llm")->length = *w->plan->fixed_model;
    }
    Fw_Relay_Open(w->r, s.call, &q, now_us(w), &w->acts);
    carry_out_actions(w);
}

/* Reschedules the end of a stream. */
static void
reschedule_end(struct world *w, const struct stream *s, int64_t at_ms)
{
    for (guint i = 0; i < w->replies->len; i++) {
        struct reply *p = &g_array_index(w->replies, struct reply, i);

        if (p->xid == s->run_xid && !p->is_begin) {
            p->at_ms = at_ms;
        }
    }
}

static void
record_first_event(struct world *w, uint64_t xid)
{
    for (guint i = 0; i < w->streams->len; i++) {
        struct stream *s = &g_array_index(w->streams, struct stream, i);

        if (s->run_xid == xid) {
            int late = w->now_ms - s->asked_ms > FW_OBJECTIVE_MS;

            w->res->late += late;
            w->res->on_time += !late;
        }
    }
}

static void
deliver(struct world *w)
{
    for (guint i = 0; i < w->replies->len;) {
        struct reply p = g_array_index(w->replies, struct reply, i);

        if (p.at_ms > w->now_ms) {
            i++;
            continue;
        }
        g_array_remove_index(w->replies, i);
        if (p.is_begin) {
            record_first_event(w, p.xid);
            Fw_Relay_ResponseBegan(w->r, p.xid, &p.ans, now_us(w), &w->acts);
        }
        else {
            Fw_Relay_ResponseEnded(w->r, p.xid, &p.ans, now_us(w), &w->acts);
        }
        carry_out_actions(w);
        i = 0;
    }
}

/* Stops a stream and frees its memory; it counts as late. */
static void
preempt_stream(struct world *w, struct stream *s)
{
    w->res->on_time -= !s->preempted;
    w->res->late += !s->preempted;
    w->res->preempted += !s->preempted;
    s->preempted = 1;
    s->preempted_ms = w->now_ms;
    reschedule_end(w, s, INT64_MAX);
}

/* Resumes a preempted stream if its engine has enough memory. */
static void
resume_stream(struct world *w, struct stream *s)
{
    int64_t paused = w->now_ms - s->preempted_ms;
    int64_t had = s->in + (int64_t)((double)(s->preempted_ms - s->run_ms) *
                                    tokens_per_ms(w, s));

    if (engine_tokens(w, s->engine) + had > w->plan->shape.kv_tokens) {
        return;
    }
    s->run_ms += paused;
    s->ends_ms += paused;
    s->preempted_ms = 0;
    reschedule_end(w, s, s->ends_ms);
}

/* Engines out of memory preempt their newest streams. */
static void
update_preemption(struct world *w)
{
    for (int e = 0; e < w->plan->decode_engines; e++) {
        while (engine_tokens(w, e) > w->plan->shape.kv_tokens) {
            struct stream *newest = NULL;

            for (guint i = 0; i < w->streams->len; i++) {
                struct stream *s =
                    &g_array_index(w->streams, struct stream, i);

                if (s->engine == e && s->ends_ms > w->now_ms &&
                    !s->preempted_ms) {
                    newest = s;
                }
            }
            if (!newest) {
                break;
            }
            preempt_stream(w, newest);
        }
    }
    for (guint i = 0; i < w->streams->len; i++) {
        struct stream *s = &g_array_index(w->streams, struct stream, i);

        if (s->preempted_ms && s->preempted_ms < w->now_ms) {
            resume_stream(w, s);
        }
    }
}

static void
set_up_relay(struct world *w)
{
    struct fw_rl_rules *rules = Fw_Rules_New();
    struct fw_rl_route_rule *route = Fw_Rules_AddRoute(rules);
    struct fw_rl_service_rule *s = Fw_Rules_AddService(rules);
    struct fw_rl_team_rule *t = Fw_Rules_AddTeam(rules);

    rules->version = 1;
    *route = (struct fw_rl_route_rule){.kind = FW_RL_STREAM,
                                       .timeout_us = 14 * FW_SEC,
                                       .attempts = 1,
                                       .generates = 1,
                                       .name = "r"};
    route->host = "h";
    route->prefix = "/g/";
    Fw_Rules_SetTarget(rules, route, "llm");
    s->name = "llm";
    s->has_engines = 1;
    s->engine =
        (struct fw_rl_engine_spec){.slots = w->plan->shape.slots,
                                   .kv_tokens = w->plan->shape.kv_tokens,
                                   .reservation_ttl_us = 2 * FW_SEC};
    t->name = "t";
    t->priority = -1;
    Fw_Rules_AddKey(rules, "k", t);
    Fw_Rules_Index(rules);
    Fw_Relay_SetRules(w->r, rules, 1, now_us(w), &w->acts);
    Fw_Rules_Unref(rules);
    for (int i = 0; i < w->plan->decode_engines + w->plan->prefill_engines;
         i++) {
        struct fw_rl_server_entry e = {.slots = w->plan->shape.slots,
                                       .born_ms = 1};

        e.id = Fw_Run_Name("e%c", 'a' + i);
        g_snprintf(e.addr, sizeof(e.addr), "e%d:1", i);
        e.service = "llm";
        e.stage = i < w->plan->decode_engines ? FW_RL_STAGE_DECODE
                                              : FW_RL_STAGE_PREFILL;
        Fw_Relay_UpdateServer(w->r, e.id, &e, now_us(w), &w->acts);
    }
    g_array_set_size(w->acts.all, 0);
}

static void
generate_arrivals(struct world *w)
{
    const struct fw_load_plan *p = w->plan;
    int burst = w->now_ms >= p->burst_start_ms && w->now_ms < p->burst_end_ms;
    double part =
        p->requests_per_s * (burst ? p->burst_factor : 1) * FW_STEP_MS / 1000;

    if (w->now_ms < p->end_ms && g_rand_double(w->rand) < part) {
        send_request(w);
    }
}

void
Fw_Load_Play(const struct fw_load_plan *plan, struct fw_load_result *out)
{
    struct fw_relay_opts opts = {.name = "n1",
                                 .seed = plan->seed,
                                 .retry_window_us = 10 * FW_SEC,
                                 .retry_extra = 100,
                                 .key_stale_us = 4 * FW_SEC,
                                 .policy = plan->policy,
                                 .queue_limit_us = 650 * FW_MSEC,
                                 .local_prefill_us = 600 * FW_MSEC,
                                 .reserve_permille = plan->reserve_permille,
                                 .prefill_permille = 100,
                                 .speed_spread_ppm = plan->speed_spread_ppm,
                                 .digest_period_us = 150 * FW_MSEC,
                                 .lease_us = 3 * FW_SEC,
                                 .grace_us = 8 * FW_SEC};
    struct world w = {.plan = plan, .res = out};

    *out = (struct fw_load_result){0};
    w.rand = g_rand_new_with_seed(plan->seed);
    w.streams = g_array_new(FALSE, TRUE, sizeof(struct stream));
    w.replies = g_array_new(FALSE, TRUE, sizeof(struct reply));
    w.r = Fw_Relay_New(&opts, now_us(&w));
    Fw_RelayActions_Init(&w.acts);
    set_up_relay(&w);
    for (; w.now_ms < plan->end_ms + 9000; w.now_ms += FW_STEP_MS) {
        Fw_Relay_SetFreshAsOf(w.r, now_us(&w));
        generate_arrivals(&w);
        deliver(&w);
        if (w.now_ms % FW_TICK_MS == 0) {
            update_preemption(&w);
            Fw_Relay_Tick(w.r, now_us(&w), &w.acts);
            carry_out_actions(&w);
        }
    }
    Fw_RelayActions_Clear(&w.acts);
    Fw_Relay_Free(w.r);
    g_array_unref(w.streams);
    g_array_unref(w.replies);
    g_rand_free(w.rand);
}
