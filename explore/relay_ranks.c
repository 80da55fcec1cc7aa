/*
 * urgent-streams-go-first: a stream of the most urgent rank is not rejected
 * for lack of room while a less urgent one that came a second later gets room,
 * although engines are lost and instances start, freeze and are cut off. It is
 * checked while all instances are in touch and know each other's streams.
 */
#include <errno.h>
#include <string.h>

#include "explore/p_relay.h"
#include "explore/relay_fleet.h"

#define FW_ENGINES 16
#define FW_PREFILL_ENGINES 4
#define FW_ENGINE_TOKENS 40000
#define FW_PROMPT_TOKENS 5000
#define FW_STEP_US (20 * FW_MSEC)
#define FW_PREFILL_US (100 * FW_MSEC)
#define FW_RESERVATION_US (2 * FW_SEC)
/*
 * Time for which all instances must be in touch for their views to be
 * complete: what others don't know of has ended by then.
 */
#define FW_IN_TOUCH_US (5 * FW_SEC)
/*
 * Time after which an instance in touch knows that a request waits: three
 * messages of one digest period each, of which some are lost.
 */
#define FW_KNOWN_US (1 * FW_SEC)

/** struct stream - a request; @granted_us: when it last got a reservation. */
struct stream {
    int rank;
    int instance;
    int64_t asked_us;
    int64_t granted_us;
};

/** struct holding - memory of an engine, until it expires or its stream ends.
 */
struct holding {
    uint64_t id;
    int engine;
    int64_t tokens;
    int64_t until_us;
};

/**
 * struct reply - a response of an engine.
 * @begins: its stream has yet to begin
 * @fails: the connection was refused
 */
struct reply {
    int instance;
    uint64_t boot;
    uint64_t xid;
    int64_t due_us;
    int begins;
    int rejects;
    int fails;
    uint64_t handle;
    int64_t stream_us;
};

/**
 * struct ranks_env - the fleet, its engines and its requests.
 * @streams: by call id less 1
 * @in_touch_us: since when all instances are in touch
 * @lost_until_us: the first @n_lost engines that decode refuse connections
 *     until then
 */
struct ranks_env {
    struct fleet fleet;
    GArray *streams;
    GArray *holdings;
    GArray *replies;
    int64_t in_touch_us;
    int n_lost;
    int64_t lost_until_us;
    uint64_t last_handle;
    double per_step[2];
};

static struct fw_rl_rules *
make_rules(void)
{
    struct fw_rl_rules *rules = Fw_RelayFleet_NewRules(0);
    struct fw_rl_service_rule *s =
        g_ptr_array_index(rules->services, rules->services->len - 1);
    struct fw_rl_route_rule *gen =
        g_ptr_array_index(rules->routes, rules->routes->len - 1);
    struct fw_rl_route_rule *later = Fw_Rules_AddRoute(rules);

    s->engine.kv_tokens = FW_ENGINE_TOKENS;
    s->engine.slots = 48;
    gen->timeout_us = 14 * FW_SEC;
    gen->objective_us = 2500 * FW_MSEC;
    *later = *gen;
    later->prefix = "/later/";
    later->priority = 2;
    Fw_Rules_Index(rules);
    return rules;
}

static void
begin(struct ranks_env *env, int i)
{
    struct fleet_instance *inst = &env->fleet.instances[i];
    int64_t now = Fw_RelayFleet_Now(&env->fleet, i);
    struct fw_relay_opts o = inst->relay->opts;

    o.precedence = FW_RL_PRECEDENCE_ON;
    o.queue_limit_us = 0;
    o.reserve_permille = 1000;
    Fw_Relay_SetOpts(inst->relay, &o);
    for (int k = 0; k < FW_ENGINES; k++) {
        struct fw_rl_server_entry e = {.slots = 48,
                                       .born_ms = 1,
                                       .stage = k < FW_PREFILL_ENGINES
                                                    ? FW_RL_STAGE_PREFILL
                                                    : FW_RL_STAGE_DECODE};

        e.id = Fw_Run_Name("%d", k);
        g_strlcpy(e.addr, e.id, sizeof(e.addr));
        e.service = "llm";
        Fw_Relay_UpdateServer(inst->relay, e.id, &e, now, &inst->acts);
    }
    Fw_Relay_EndServerList(inst->relay, now, &inst->acts);
    env->in_touch_us = env->fleet.now_us;
}

static struct stream *
find_stream(struct ranks_env *env, uint64_t call)
{
    return &g_array_index(env->streams, struct stream, call - 1);
}

static int64_t
used_at(const struct ranks_env *env, int engine)
{
    int64_t used = 0;

    for (guint i = 0; i < env->holdings->len; i++) {
        const struct holding *h =
            &g_array_index(env->holdings, struct holding, i);

        used += h->engine == engine ? h->tokens : 0;
    }
    return used;
}

static void
set_holding(struct ranks_env *env, uint64_t id, int64_t until_us)
{
    for (guint i = 0; i < env->holdings->len; i++) {
        struct holding *h = &g_array_index(env->holdings, struct holding, i);

        if (h->id == id) {
            h->until_us = until_us;
        }
    }
}

static void
reserve(struct ranks_env *env, const struct fw_rl_upstream_call *u,
        struct reply *p)
{
    struct holding h = {.id = ++env->last_handle,
                        .engine = atoi(u->server),
                        .tokens = u->tokens,
                        .until_us = env->fleet.now_us + FW_RESERVATION_US};

    p->fails = h.engine < FW_PREFILL_ENGINES + env->n_lost &&
               env->fleet.now_us < env->lost_until_us;
    p->rejects = used_at(env, h.engine) + h.tokens > FW_ENGINE_TOKENS;
    if (!p->fails && !p->rejects) {
        p->handle = h.id;
        g_array_append_val(env->holdings, h);
        find_stream(env, u->call)->granted_us = env->fleet.now_us;
    }
}

static void
handle_call(struct ranks_env *env, int i, const struct fw_rl_upstream_call *u)
{
    struct reply p = {.instance = i,
                      .boot = env->fleet.instances[i].boot,
                      .xid = u->xid,
                      .due_us = env->fleet.now_us + FW_MSEC};

    switch (u->kind) {
    case FW_RL_UP_RESERVE:
        reserve(env, u, &p);
        break;
    case FW_RL_UP_PREFILL:
        p.due_us += FW_PREFILL_US;
        p.handle = 1;
        break;
    case FW_RL_UP_RUN:
        p.begins = 1;
        p.stream_us = 1000 * FW_MSEC +
                      Fw_RelayFleet_RandBelow(&env->fleet, 1500) * FW_MSEC;
        set_holding(env, g_ascii_strtoull(u->reservation, NULL, 10),
                    env->fleet.now_us + p.stream_us);
        break;
    case FW_RL_UP_RELEASE:
        set_holding(env, g_ascii_strtoull(u->reservation, NULL, 10), 0);
        break;
    default:
        break;
    }
    g_array_append_val(env->replies, p);
}

static void
check_rejection(struct ranks_env *env, const struct fw_rl_rejection *rejected)
{
    const struct stream *u = find_stream(env, rejected->call);

    if (u->rank || strcmp(rejected->reason, "no_room") != 0 ||
        env->fleet.now_us - env->in_touch_us < FW_IN_TOUCH_US) {
        return;
    }
    for (guint i = 0; i < env->streams->len; i++) {
        const struct stream *s =
            &g_array_index(env->streams, struct stream, i);

        if (s->rank && s->asked_us > u->asked_us + FW_KNOWN_US &&
            s->granted_us) {
            Fw_Run_Fail(env->fleet.run,
                        "call %d rejected at n%02d after %d ms, call %d at "
                        "n%02d came %d ms later and got room",
                        (int)rejected->call, u->instance,
                        (int)((env->fleet.now_us - u->asked_us) / FW_MSEC),
                        (int)i + 1, s->instance,
                        (int)((s->asked_us - u->asked_us) / FW_MSEC));
        }
    }
}

static void
cancel(struct ranks_env *env, int i, uint64_t xid)
{
    for (guint k = 0; k < env->replies->len; k++) {
        const struct reply *p = &g_array_index(env->replies, struct reply, k);

        if (p->instance == i && p->xid == xid &&
            p->boot == env->fleet.instances[i].boot) {
            g_array_remove_index_fast(env->replies, k);
            return;
        }
    }
}

static void
apply_actions(struct ranks_env *env, int i)
{
    struct fleet_instance *inst = &env->fleet.instances[i];

    for (guint k = 0; k < inst->acts.all->len; k++) {
        struct fw_rl_action a =
            g_array_index(inst->acts.all, struct fw_rl_action, k);

        if (a.kind == FW_RL_DO_CALL) {
            handle_call(env, i, &a.u.upstream_call);
        }
        else if (a.kind == FW_RL_DO_CANCEL_CALL) {
            cancel(env, i, a.u.xid);
        }
        else if (a.kind == FW_RL_DO_REJECT) {
            check_rejection(env, &a.u.rejection);
        }
    }
    g_array_set_size(inst->acts.all, 0);
}

static void
answer(struct ranks_env *env, struct reply *p)
{
    struct fleet_instance *inst = &env->fleet.instances[p->instance];
    int64_t now = Fw_RelayFleet_Now(&env->fleet, p->instance);
    struct fw_rl_upstream_response ans = {.status = p->rejects ? 503 : 200,
                                          .limit_milli = FW_NO_LIMIT,
                                          .not_run = p->rejects,
                                          .orders = -1};

    if (p->boot != inst->boot) {
        return;
    }
    if (p->fails) {
        Fw_Relay_UpstreamFailed(inst->relay, p->xid, -ECONNREFUSED, 0, now,
                                &inst->acts);
        apply_actions(env, p->instance);
        return;
    }
    if (p->handle) {
        g_snprintf(ans.handle, sizeof(ans.handle), "%d", (int)p->handle);
    }
    if (!p->begins) {
        Fw_Relay_ResponseEnded(inst->relay, p->xid, &ans, now, &inst->acts);
    }
    else {
        struct reply end = *p;

        Fw_Relay_ResponseBegan(inst->relay, p->xid, &ans, now, &inst->acts);
        end.begins = 0;
        end.due_us += p->stream_us;
        g_array_append_val(env->replies, end);
    }
    apply_actions(env, p->instance);
}

static void
answer_due(struct ranks_env *env)
{
    for (guint k = 0; k < env->replies->len;) {
        struct reply p = g_array_index(env->replies, struct reply, k);

        if (p.due_us > env->fleet.now_us ||
            !Fw_RelayFleet_IsRunning(&env->fleet, p.instance)) {
            k++;
            continue;
        }
        g_array_remove_index_fast(env->replies, k);
        answer(env, &p);
    }
    for (guint k = env->holdings->len; k-- > 0;) {
        if (g_array_index(env->holdings, struct holding, k).until_us <=
            env->fleet.now_us) {
            g_array_remove_index_fast(env->holdings, k);
        }
    }
}

static void
open_request(struct ranks_env *env, int rank)
{
    struct fleet *fleet = &env->fleet;
    int i = Fw_RelayFleet_RandBelow(fleet, fleet->n);
    struct fleet_instance *inst = &fleet->instances[i];
    struct stream s = {.rank = rank, .instance = i, .asked_us = fleet->now_us};
    char text[24];
    struct fw_rl_request_info info = {.tokens_in = FW_PROMPT_TOKENS,
                                      .tokens_out_max = 300,
                                      .tokens_out_hint = -1,
                                      .last_event_id = -1};

    if (!Fw_RelayFleet_IsRunning(fleet, i)) {
        return;
    }
    g_array_append_val(env->streams, s);
    g_snprintf(text, sizeof(text), "%d", (int)env->streams->len);
    info.id = text;
    info.host = "h";
    info.path = rank ? "/later/x" : "/gen/x";
    Fw_Relay_Open(inst->relay, env->streams->len, &info,
                  Fw_RelayFleet_Now(fleet, i), &inst->acts);
    apply_actions(env, i);
}

static void
lose_touch(struct ranks_env *env)
{
    for (int i = 0; i < env->fleet.n; i++) {
        const struct fleet_instance *inst = &env->fleet.instances[i];

        if (inst->isolated || inst->partition ||
            !Fw_RelayFleet_IsRunning(&env->fleet, i)) {
            env->in_touch_us = env->fleet.now_us;
        }
    }
}

static void
disturb(struct ranks_env *env)
{
    struct fleet *fleet = &env->fleet;
    int i = Fw_RelayFleet_RandBelow(fleet, fleet->n);

    switch (Fw_RelayFleet_RandBelow(fleet, 800)) {
    case 0:
        fleet->instances[i].isolated = !fleet->instances[i].isolated;
        break;
    case 1:
        fleet->instances[i].frozen_until_us =
            fleet->now_us + Fw_RelayFleet_RandBelow(fleet, 3 * FW_SEC);
        break;
    case 2:
        Fw_RelayFleet_Restart(fleet, i);
        begin(env, i);
        break;
    case 3:
    case 4:
        Fw_RelayFleet_Heal(fleet);
        break;
    case 5:
    case 6:
        env->n_lost = Fw_RelayFleet_RandBelow(fleet, 5);
        env->lost_until_us =
            fleet->now_us + Fw_RelayFleet_RandBelow(fleet, 8 * FW_SEC);
        break;
    default:
        break;
    }
    lose_touch(env);
}

static void
step(struct ranks_env *env)
{
    Fw_RelayFleet_Advance(&env->fleet, FW_STEP_US);
    answer_due(env);
    for (int i = 0; i < env->fleet.n; i++) {
        struct fleet_instance *inst = &env->fleet.instances[i];
        int64_t now = Fw_RelayFleet_Now(&env->fleet, i);

        if (Fw_RelayFleet_IsRunning(&env->fleet, i)) {
            Fw_Relay_SetFreshAsOf(inst->relay, now);
            Fw_Relay_Tick(inst->relay, now, &inst->acts);
            apply_actions(env, i);
        }
    }
    for (int rank = 0; rank < 2; rank++) {
        double n = env->per_step[rank];

        while (g_rand_double(env->fleet.run->rand) < n) {
            open_request(env, rank);
            n -= 1;
        }
    }
}

void
Fw_Explore_RelayRanks(struct fw_run *run)
{
    struct ranks_env *env = g_new0(struct ranks_env, 1);
    struct fw_rl_rules *rules = make_rules();

    env->streams = g_array_new(FALSE, TRUE, sizeof(struct stream));
    env->holdings = g_array_new(FALSE, FALSE, sizeof(struct holding));
    env->replies = g_array_new(FALSE, FALSE, sizeof(struct reply));
    Fw_RelayFleet_Init(&env->fleet, run, Fw_RelayFleet_DrawSize(run), rules);
    env->fleet.delay_pct = 0;
    /* The engines carry about 40 a second, 0.8 in a step. */
    env->per_step[0] = g_rand_double_range(run->rand, 0.3, 0.7);
    env->per_step[1] = g_rand_double_range(run->rand, 0.2, 1.5);
    for (int i = 0; i < env->fleet.n; i++) {
        begin(env, i);
    }
    for (int s = 0; s < run->steps && !run->failure[0]; s++) {
        disturb(env);
        step(env);
    }
    Fw_RelayFleet_Clear(&env->fleet);
    Fw_Rules_Unref(rules);
    g_array_unref(env->streams);
    g_array_unref(env->holdings);
    g_array_unref(env->replies);
    g_free(env);
}
