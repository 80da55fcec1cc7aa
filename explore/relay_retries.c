/*
 * retry-budget-is-kept: in any window, the calls that reach the servers of a
 * service beyond the first of each request stay within the fleet's retry
 * budget, although servers fail, failure domains are evacuated, calls are held
 * up, and instances are restarted, freeze and are cut off.
 */
#include <errno.h>
#include <string.h>

#include "explore/p_relay.h"
#include "explore/relay_call.h"

#define FW_WINDOW_US (10 * FW_SEC)
#define FW_RATIO_PERMILLE 200
/* A connection whose data is not acknowledged fails after this time. */
#define FW_HELD_UP_MAX_US (2 * FW_SEC)
#define FW_SERVERS 10
/* Server of a call to another instance, which accepts no connections here. */
#define FW_NO_SERVER FW_SERVERS

/** enum trouble - how a server treats calls. */
enum trouble {
    FW_SOUND,
    FW_REJECTS,     /* says that it did not run them */
    FW_BREAKS,      /* closes their connections */
    FW_UNREACHABLE, /* accepts no connections */
    FW_SILENT,      /* never answers */
    FW_TROUBLES,
};

/** struct server - a simulated server of one of the two services. */
struct server {
    const char *id;
    const char *service;
    enum fw_rl_stage stage;
};

static const struct server servers[FW_SERVERS] = {
    {"s0", "plain", FW_RL_STAGE_NONE},  {"s1", "plain", FW_RL_STAGE_NONE},
    {"s2", "plain", FW_RL_STAGE_NONE},  {"d0", "llm", FW_RL_STAGE_DECODE},
    {"d1", "llm", FW_RL_STAGE_DECODE},  {"d2", "llm", FW_RL_STAGE_DECODE},
    {"d3", "llm", FW_RL_STAGE_DECODE},  {"p0", "llm", FW_RL_STAGE_PREFILL},
    {"p1", "llm", FW_RL_STAGE_PREFILL}, {"p2", "llm", FW_RL_STAGE_PREFILL},
};

/** enum service - index of a service in the counts. */
enum service {
    FW_PLAIN,
    FW_LLM,
    FW_SERVICES,
};

/**
 * struct request - what reached the servers of one request.
 * @arrivals: calls that count, without the first prefill that was accepted
 * @is_prefilled: that prefill was seen
 */
struct request {
    enum service service;
    int arrivals;
    int is_prefilled;
};

/**
 * struct retry_env - the fleet, its servers and what reached them.
 * @pending: of struct relay_call
 * @requests: of struct request, by number
 * @opened_us: when callers sent requests for each service, of int64_t
 * @extra_us: when calls beyond the first of a request arrived, of int64_t
 * @quiet: most servers are sound
 */
struct retry_env {
    struct fleet fleet;
    GArray *pending;
    GArray *requests;
    GArray *opened_us[FW_SERVICES];
    GArray *extra_us[FW_SERVICES];
    enum trouble trouble[FW_SERVERS + 1];
    int quiet;
    int64_t extra;
    int64_t evacuation_offset;
    int open_permille;
};

static void
add_servers(struct retry_env *env, int i)
{
    struct fleet_instance *inst = &env->fleet.instances[i];

    for (int k = 0; k < FW_SERVERS; k++) {
        struct fw_rl_server_entry e = {
            .slots = 1000, .born_ms = 1, .stage = servers[k].stage};

        e.id = servers[k].id;
        g_strlcpy(e.addr, servers[k].id, sizeof(e.addr));
        e.service = servers[k].service;
        e.domain = k % 2 ? "even" : "odd";
        Fw_Relay_UpdateServer(inst->relay, e.id, &e,
                              Fw_RelayFleet_Now(&env->fleet, i), &inst->acts);
    }
    g_array_set_size(inst->acts.all, 0);
}

static int
count_between(const GArray *times, int64_t after_us, int64_t until_us)
{
    int n = 0;

    for (guint k = times->len; k-- > 0;) {
        int64_t at = g_array_index(times, int64_t, k);

        if (at <= after_us) {
            break;
        }
        n += at <= until_us;
    }
    return n;
}

/* Requests in the window that ends at @end_us. */
static int
opened(const struct retry_env *env, enum service s, int64_t end_us)
{
    return count_between(env->opened_us[s], end_us - FW_WINDOW_US, end_us);
}

static void
note_extra(struct retry_env *env, enum service s)
{
    int64_t now = env->fleet.now_us;
    int requests = opened(env, s, now);
    int64_t allowed;
    int n;

    g_array_append_val(env->extra_us[s], now);
    requests = MAX(requests, opened(env, s, now - FW_WINDOW_US / 2));
    requests = MAX(requests, opened(env, s, now - FW_WINDOW_US));
    allowed = (int64_t)requests * FW_RATIO_PERMILLE / 1000 + env->extra;
    n = count_between(env->extra_us[s], now - FW_WINDOW_US, now);
    if (n > allowed) {
        Fw_Run_Fail(env->fleet.run,
                    "%s got %d calls beyond the first of their request for %d "
                    "requests, allowed %d; %d instances",
                    s == FW_LLM ? "llm" : "plain", n, requests, (int)allowed,
                    env->fleet.n);
    }
}

/* A prefill or a run reaches its server. */
static void
arrive(struct retry_env *env, struct relay_call *p)
{
    struct request *q =
        &g_array_index(env->requests, struct request, p->call.call);

    p->has_arrived = 1;
    if (p->call.kind == FW_RL_UP_PREFILL && !q->is_prefilled &&
        env->trouble[p->server] == FW_SOUND) {
        q->is_prefilled = 1;
        return;
    }
    if (q->arrivals++ > 0) {
        note_extra(env, q->service);
    }
}

static int
find_server(const char *id)
{
    for (int k = 0; k < FW_SERVERS; k++) {
        if (strcmp(servers[k].id, id) == 0) {
            return k;
        }
    }
    g_assert_not_reached();
}

static int
reaches_requests(const struct fw_rl_upstream_call *c)
{
    return c->kind == FW_RL_UP_RUN || c->kind == FW_RL_UP_PREFILL;
}

static void
start_call(struct retry_env *env, int i, const struct fw_rl_upstream_call *c)
{
    struct fleet *fleet = &env->fleet;
    struct relay_call p = {.call = Fw_RelayCall_Copy(c),
                           .instance = i,
                           .boot = fleet->instances[i].boot};
    int64_t delay = Fw_RelayFleet_RandBelow(fleet, 50) == 0
                        ? Fw_RelayFleet_RandBelow(fleet, FW_HELD_UP_MAX_US)
                        : FW_MSEC;

    p.server =
        c->kind == FW_RL_UP_HANDOVER ? FW_NO_SERVER : find_server(c->server);
    p.arrive_us = fleet->now_us + delay;
    p.due_us = p.arrive_us + Fw_RelayFleet_RandBelow(fleet, 150) * FW_MSEC;
    g_array_append_val(env->pending, p);
}

static void
apply_actions(struct retry_env *env, int i)
{
    struct fleet_instance *inst = &env->fleet.instances[i];

    for (guint k = 0; k < inst->acts.all->len; k++) {
        const struct fw_rl_action *a =
            &g_array_index(inst->acts.all, struct fw_rl_action, k);

        if (a->kind == FW_RL_DO_CALL) {
            start_call(env, i, &a->u.upstream_call);
        }
        else if (a->kind == FW_RL_DO_CANCEL_CALL) {
            Fw_RelayCall_Cancel(env->pending, &env->fleet, i, a->u.xid);
        }
    }
    g_array_set_size(inst->acts.all, 0);
}

/* Return: nonzero if the call has ended. */
static int
answer(struct retry_env *env, struct relay_call *p)
{
    switch (env->trouble[p->server]) {
    case FW_SILENT:
        p->due_us += 500 * FW_MSEC;
        return 0;
    case FW_BREAKS:
        Fw_RelayCall_Fail(&env->fleet, p, -ECONNRESET, 1);
        return 1;
    case FW_REJECTS:
    case FW_UNREACHABLE: /* not for connections that are open */
    default:
        break;
    }
    return Fw_RelayCall_Answer(&env->fleet, p,
                               env->trouble[p->server] == FW_REJECTS);
}

/* Return: nonzero if the call has ended. */
static int
advance_call(struct retry_env *env, struct relay_call *p)
{
    struct fleet *fleet = &env->fleet;
    int is_orphan = p->boot != fleet->instances[p->instance].boot;

    if (!p->has_arrived && fleet->now_us >= p->arrive_us) {
        if (env->trouble[p->server] == FW_UNREACHABLE) {
            if (!is_orphan) {
                Fw_RelayCall_Fail(&env->fleet, p, -ECONNREFUSED, 0);
            }
            return 1;
        }
        if (reaches_requests(&p->call)) {
            arrive(env, p);
        }
        p->has_arrived = 1;
    }
    if (is_orphan) {
        return p->has_arrived;
    }
    return fleet->now_us >= p->due_us &&
           Fw_RelayFleet_IsRunning(fleet, p->instance) && answer(env, p);
}

/* A callback of one call may add or cancel others. */
static void
advance_calls(struct retry_env *env)
{
    for (guint k = 0; k < env->pending->len; k++) {
        struct relay_call p =
            g_array_index(env->pending, struct relay_call, k);
        int i = p.instance;

        if (env->fleet.now_us < MIN(p.arrive_us, p.due_us) ||
            (!Fw_RelayFleet_IsRunning(&env->fleet, i) && p.has_arrived)) {
            continue;
        }
        if (advance_call(env, &p)) {
            g_array_remove_index_fast(env->pending, k--);
        }
        else {
            g_array_index(env->pending, struct relay_call, k) = p;
        }
        apply_actions(env, i);
    }
}

static void
open_request(struct retry_env *env, int i)
{
    struct fleet_instance *inst = &env->fleet.instances[i];
    struct request q = {.service = Fw_RelayFleet_RandBelow(&env->fleet, 2)};
    int generates = q.service == FW_LLM;
    char text[24];
    struct fw_rl_request_info info = {.tokens_in = generates ? 1000 : -1,
                                      .tokens_out_max = generates ? 500 : -1,
                                      .tokens_out_hint = -1,
                                      .last_event_id = -1};
    uint64_t call = env->requests->len;

    info.fingerprint = call + 1;
    g_array_append_val(env->requests, q);
    g_array_append_val(env->opened_us[q.service], env->fleet.now_us);
    info.host = "h";
    info.path = generates ? "/gen/x" : "/read/x";
    g_snprintf(text, sizeof(text), "%d", (int)call);
    info.id = text;
    Fw_Relay_Open(inst->relay, call, &info, Fw_RelayFleet_Now(&env->fleet, i),
                  &inst->acts);
    apply_actions(env, i);
}

static void
run_instances(struct retry_env *env)
{
    for (int i = 0; i < env->fleet.n; i++) {
        struct fleet_instance *inst = &env->fleet.instances[i];

        if (!Fw_RelayFleet_IsRunning(&env->fleet, i)) {
            continue;
        }
        Fw_Relay_Tick(inst->relay, Fw_RelayFleet_Now(&env->fleet, i),
                      &inst->acts);
        apply_actions(env, i);
        if (Fw_RelayFleet_RandBelow(&env->fleet, 1000) < env->open_permille) {
            open_request(env, i);
        }
    }
}

static void
restart(struct retry_env *env, int i)
{
    Fw_RelayFleet_Restart(&env->fleet, i);
    add_servers(env, i);
}

static void
restart_many(struct retry_env *env)
{
    Fw_Run_Trace(env->fleet.run, "many restarted");
    for (int i = 0; i < env->fleet.n; i++) {
        if (Fw_RelayFleet_RandBelow(&env->fleet, 4) > 0) {
            restart(env, i);
        }
    }
}

static void
evacuate(struct retry_env *env)
{
    int active = Fw_RelayFleet_RandBelow(&env->fleet, 3) == 0;

    env->evacuation_offset++;
    for (int i = 0; i < env->fleet.n; i++) {
        struct fleet_instance *inst = &env->fleet.instances[i];

        Fw_Relay_SetEvacuation(inst->relay, "odd", active,
                               (uint64_t)env->evacuation_offset,
                               Fw_RelayFleet_Now(&env->fleet, i), &inst->acts);
        apply_actions(env, i);
    }
}

static void
change_servers(struct retry_env *env)
{
    for (int k = 0; k < FW_SERVERS; k++) {
        env->trouble[k] =
            Fw_RelayFleet_RandBelow(&env->fleet, 3) < (env->quiet ? 1 : 2)
                ? (enum trouble)Fw_RelayFleet_RandBelow(&env->fleet,
                                                        FW_TROUBLES)
                : FW_SOUND;
    }
}

static void
disturb(struct retry_env *env)
{
    struct fleet *fleet = &env->fleet;
    int i = Fw_RelayFleet_RandBelow(fleet, fleet->n);

    switch (Fw_RelayFleet_RandBelow(fleet, 300)) {
    case 0:
        fleet->instances[i].isolated = !fleet->instances[i].isolated;
        break;
    case 1:
        fleet->instances[i].frozen_until_us =
            fleet->now_us + Fw_RelayFleet_RandBelow(fleet, 6 * FW_SEC);
        break;
    case 2:
    case 3:
        restart(env, i);
        break;
    case 4:
        restart_many(env);
        break;
    case 5:
        Fw_RelayFleet_Partition(fleet);
        break;
    case 6:
        Fw_RelayFleet_Heal(fleet);
        break;
    case 7:
    case 8:
        evacuate(env);
        break;
    case 9:
    case 10:
    case 11:
        change_servers(env);
        break;
    default:
        break;
    }
}

static void
step(struct retry_env *env)
{
    Fw_RelayFleet_Advance(&env->fleet, 20 * FW_MSEC);
    advance_calls(env);
    run_instances(env);
}

static void
init_env(struct retry_env *env, struct fw_run *run, struct fw_rl_rules *rules)
{
    int n = Fw_RelayFleet_DrawSize(run);

    env->pending = g_array_new(FALSE, FALSE, sizeof(struct relay_call));
    env->requests = g_array_new(FALSE, TRUE, sizeof(struct request));
    for (int s = 0; s < FW_SERVICES; s++) {
        env->opened_us[s] = g_array_new(FALSE, FALSE, sizeof(int64_t));
        env->extra_us[s] = g_array_new(FALSE, FALSE, sizeof(int64_t));
    }
    env->extra = (int64_t)n * g_rand_int_range(run->rand, 2, 10);
    env->open_permille = MAX(1200 / n, 10);
    env->quiet = g_rand_int_range(run->rand, 0, 2);
    env->trouble[FW_NO_SERVER] = FW_UNREACHABLE;
    Fw_RelayFleet_Init(&env->fleet, run, n, rules);
    env->fleet.retry_extra = env->extra;
    env->fleet.expires_members = 1;
    for (int i = 0; i < n; i++) {
        Fw_RelayFleet_Restart(&env->fleet, i);
        add_servers(env, i);
    }
}

static void
clear_env(struct retry_env *env)
{
    Fw_RelayFleet_Clear(&env->fleet);
    for (int s = 0; s < FW_SERVICES; s++) {
        g_array_unref(env->opened_us[s]);
        g_array_unref(env->extra_us[s]);
    }
    g_array_unref(env->requests);
    g_array_unref(env->pending);
}

void
Fw_Explore_RelayRetries(struct fw_run *run)
{
    struct retry_env *env = g_new0(struct retry_env, 1);
    struct fw_rl_rules *rules = Fw_RelayFleet_NewRules(1);

    init_env(env, run, rules);
    for (int s = 0; s < run->steps && !run->failure[0]; s++) {
        disturb(env);
        step(env);
    }
    clear_env(env);
    Fw_Rules_Unref(rules);
    g_free(env);
}
