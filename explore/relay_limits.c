/*
 * server-limits-are-kept: a server that names a limit gets no more than one
 * and a half times that within the window, and a few, from the instances that
 * have received it, although instances start, freeze and are cut off, and
 * although some responses leave the limit out. When it names none any more,
 * all instances come to know.
 */
#include <string.h>

#include "explore/p_relay.h"
#include "explore/relay_fleet.h"

#define FW_LIMITED "s0"
#define FW_SOUND "s1"
/* Time for an instance to keep a limit that it has received. */
#define FW_NOTICE_US (500 * FW_MSEC)
/* Time after which the limit of a server must be kept by the fleet. */
#define FW_STABLE_US (3 * FW_SEC)
/* Requests that may exceed a limit within the window, and its factor. */
#define FW_TOLERANCE 5
#define FW_OVERAGE_PCT 150
/* Time within which all instances know that a limit has ended. */
#define FW_END_KNOWN_US (20 * FW_SEC)

/** struct pending - a call that a server will answer. */
struct pending {
    int64_t due_us;
    int instance;
    uint64_t boot;
    uint64_t xid;
    int is_limited;
};

/**
 * struct limit_env - the fleet, its load and the server that names a limit.
 * @milli: the limit, FW_NO_LIMIT for none
 * @named_us: when @milli was last changed
 * @told_us: when each instance first received a limit, 0 for not yet
 * @counted: arrivals from instances that have received one, of int64_t
 * @omit_pct: percentage of rejections that leave the limit out
 */
struct limit_env {
    struct fleet fleet;
    GArray *pending;
    int64_t milli;
    int64_t named_us;
    int64_t told_us[FW_FLEET_MAX];
    GArray *counted;
    int omit_pct;
    uint64_t last_call;
};

static struct fw_rl_rules *
make_rules(void)
{
    struct fw_rl_rules *rules = Fw_Rules_New();
    struct fw_rl_route_rule *route = Fw_Rules_AddRoute(rules);
    struct fw_rl_service_rule *service = Fw_Rules_AddService(rules);

    rules->version = 1;
    service->name = "plain";
    route->name = "r";
    route->host = "h";
    route->prefix = "/";
    route->kind = FW_RL_IDEMPOTENT;
    route->timeout_us = 2 * FW_SEC;
    route->attempts = 2;
    route->anonymous = 1;
    Fw_Rules_SetTarget(rules, route, "plain");
    Fw_Rules_Index(rules);
    return rules;
}

static void
add_server(struct limit_env *env, int i, const char *id)
{
    struct fleet_instance *inst = &env->fleet.instances[i];
    struct fw_rl_server_entry e = {.slots = 1000, .born_ms = 1};

    e.id = id;
    g_strlcpy(e.addr, id, sizeof(e.addr));
    e.service = "plain";
    Fw_Relay_UpdateServer(inst->relay, id, &e,
                          Fw_RelayFleet_Now(&env->fleet, i), &inst->acts);
}

static void
begin(struct limit_env *env, int i)
{
    add_server(env, i, FW_LIMITED);
    add_server(env, i, FW_SOUND);
    env->told_us[i] = 0;
}

static int
allowed(const struct limit_env *env)
{
    return (int)(env->milli * FW_OVERAGE_PCT / 100 *
                 (FW_LIMIT_WINDOW_US / FW_MSEC) / (1000 * 1000)) +
           FW_TOLERANCE;
}

/* A request of instance @i arrives at the server that names a limit. */
static void
arrive(struct limit_env *env, int i)
{
    int64_t now = env->fleet.now_us;
    int n = 0;

    if (!env->told_us[i] || now - env->told_us[i] < FW_NOTICE_US) {
        return;
    }
    g_array_append_val(env->counted, now);
    if (env->milli == FW_NO_LIMIT || now - env->named_us < FW_STABLE_US) {
        return;
    }
    for (guint k = env->counted->len; k-- > 0; n++) {
        int64_t at = g_array_index(env->counted, int64_t, k);

        if (at <= MAX(now - FW_LIMIT_WINDOW_US, env->named_us)) {
            break;
        }
    }
    if (n > allowed(env)) {
        Fw_Run_Fail(env->fleet.run,
                    "%d requests from %d instances, allowed %d", n,
                    env->fleet.n, allowed(env));
    }
}

static void
apply_actions(struct limit_env *env, int i)
{
    struct fleet_instance *inst = &env->fleet.instances[i];

    for (guint k = 0; k < inst->acts.all->len; k++) {
        const struct fw_rl_action *a =
            &g_array_index(inst->acts.all, struct fw_rl_action, k);
        struct pending p = {.instance = i, .boot = inst->boot};

        if (a->kind != FW_RL_DO_CALL) {
            continue;
        }
        p.due_us = env->fleet.now_us +
                   Fw_RelayFleet_RandBelow(&env->fleet, 150) * FW_MSEC;
        p.xid = a->u.upstream_call.xid;
        p.is_limited = strcmp(a->u.upstream_call.server, FW_LIMITED) == 0;
        g_array_append_val(env->pending, p);
        if (p.is_limited) {
            arrive(env, i);
        }
    }
    g_array_set_size(inst->acts.all, 0);
}

static void
answer(struct limit_env *env, const struct pending *p)
{
    struct fleet *fleet = &env->fleet;
    struct fleet_instance *inst = &fleet->instances[p->instance];
    int64_t now = Fw_RelayFleet_Now(fleet, p->instance);
    int failed = Fw_RelayFleet_RandBelow(fleet, 10) == 0;
    struct fw_rl_upstream_response ans = {.status = failed ? 503 : 200,
                                          .limit_milli = FW_NO_LIMIT,
                                          .not_run = failed,
                                          .orders = -1};

    if (p->boot != inst->boot) {
        return;
    }
    if (p->is_limited &&
        (!failed || Fw_RelayFleet_RandBelow(fleet, 100) >= env->omit_pct)) {
        ans.limit_milli = env->milli;
    }
    if (ans.limit_milli != FW_NO_LIMIT && !env->told_us[p->instance]) {
        env->told_us[p->instance] = fleet->now_us;
    }
    Fw_Relay_ResponseHead(inst->relay, p->xid, &ans, now, &inst->acts);
    Fw_Relay_ResponseEnded(inst->relay, p->xid, &ans, now, &inst->acts);
    apply_actions(env, p->instance);
}

static void
answer_due(struct limit_env *env)
{
    for (guint k = 0; k < env->pending->len;) {
        struct pending p = g_array_index(env->pending, struct pending, k);

        if (p.due_us > env->fleet.now_us ||
            !Fw_RelayFleet_IsRunning(&env->fleet, p.instance)) {
            k++;
            continue;
        }
        g_array_remove_index_fast(env->pending, k);
        answer(env, &p);
    }
}

static void
open_requests(struct limit_env *env)
{
    char text[24];
    struct fw_rl_request_info info = {.tokens_in = -1,
                                      .tokens_out_max = -1,
                                      .tokens_out_hint = -1,
                                      .last_event_id = -1};

    info.host = "h";
    info.path = "/x";
    for (int i = 0; i < env->fleet.n; i++) {
        struct fleet_instance *inst = &env->fleet.instances[i];
        int64_t now = Fw_RelayFleet_Now(&env->fleet, i);

        if (!Fw_RelayFleet_IsRunning(&env->fleet, i)) {
            continue;
        }
        Fw_Relay_Tick(inst->relay, now, &inst->acts);
        if (Fw_RelayFleet_RandBelow(&env->fleet, 5) == 0) {
            g_snprintf(text, sizeof(text), "%d", (int)++env->last_call);
            info.id = text;
            Fw_Relay_Open(inst->relay, env->last_call, &info, now,
                          &inst->acts);
        }
        apply_actions(env, i);
    }
}

static void
change_limit(struct limit_env *env)
{
    static const int64_t limits[] = {0, 300, 2600, 3100, 6600, 40000, 300000};
    int n = Fw_RelayFleet_RandBelow(&env->fleet, G_N_ELEMENTS(limits) + 2);

    env->milli = n < (int)G_N_ELEMENTS(limits) ? limits[n] : FW_NO_LIMIT;
    env->named_us = env->fleet.now_us;
    Fw_Run_Trace(env->fleet.run, "limit %d",
                 env->milli == FW_NO_LIMIT ? -1 : (int)env->milli);
}

static void
disturb(struct limit_env *env)
{
    struct fleet *fleet = &env->fleet;
    int i = Fw_RelayFleet_RandBelow(fleet, fleet->n);

    switch (Fw_RelayFleet_RandBelow(fleet, 150)) {
    case 0:
        fleet->instances[i].isolated = !fleet->instances[i].isolated;
        break;
    case 1:
        fleet->instances[i].frozen_until_us =
            fleet->now_us + Fw_RelayFleet_RandBelow(fleet, 6 * FW_SEC);
        break;
    case 2:
        Fw_RelayFleet_Restart(fleet, i);
        begin(env, i);
        Fw_Run_Trace(fleet->run, "%s restarted", fleet->instances[i].name);
        break;
    case 3:
        Fw_RelayFleet_Partition(fleet);
        break;
    case 4:
        Fw_RelayFleet_Heal(fleet);
        break;
    case 5:
    case 6:
        change_limit(env);
        break;
    default:
        break;
    }
}

static void
step(struct limit_env *env)
{
    Fw_RelayFleet_Advance(&env->fleet, 20 * FW_MSEC);
    answer_due(env);
    open_requests(env);
}

static void
check_end_is_known(struct limit_env *env)
{
    struct fleet *fleet = &env->fleet;
    int64_t end = fleet->now_us + FW_END_KNOWN_US;

    env->milli = FW_NO_LIMIT;
    Fw_RelayFleet_Heal(fleet);
    while (fleet->now_us < end) {
        step(env);
    }
    for (int i = 0; i < fleet->n; i++) {
        const struct fw_rl_server *s =
            Fw_Servers_Find(fleet->instances[i].relay, FW_LIMITED);

        if (s->limit.milli != FW_NO_LIMIT) {
            Fw_Run_Fail(fleet->run, "%s still keeps an ended limit",
                        fleet->instances[i].name);
        }
    }
}

/* Large fleets take long, and are drawn rarely. */
static int
fleet_size(struct fw_run *run)
{
    int n = g_rand_int_range(run->rand, 0, 128);

    if (n == 0) {
        return FW_FLEET_MAX;
    }
    if (n < 16) {
        return g_rand_int_range(run->rand, 60, 128);
    }
    return n < 48 ? g_rand_int_range(run->rand, 13, 60)
                  : g_rand_int_range(run->rand, 3, 13);
}

void
Fw_Explore_RelayLimits(struct fw_run *run)
{
    struct limit_env *env = g_new0(struct limit_env, 1);
    struct fw_rl_rules *rules = make_rules();

    env->pending = g_array_new(FALSE, FALSE, sizeof(struct pending));
    env->counted = g_array_new(FALSE, FALSE, sizeof(int64_t));
    env->milli = FW_NO_LIMIT;
    env->omit_pct = g_rand_int_range(run->rand, 0, 3) * 20;
    Fw_RelayFleet_Init(&env->fleet, run, fleet_size(run), rules);
    env->fleet.expires_members = 1;
    for (int i = 0; i < env->fleet.n; i++) {
        begin(env, i);
    }
    for (int s = 0; s < run->steps && !run->failure[0]; s++) {
        disturb(env);
        step(env);
    }
    if (!run->failure[0]) {
        check_end_is_known(env);
    }
    Fw_RelayFleet_Clear(&env->fleet);
    Fw_Rules_Unref(rules);
    g_array_unref(env->pending);
    g_array_unref(env->counted);
    g_free(env);
}
