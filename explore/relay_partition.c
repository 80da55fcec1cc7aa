/*
 * cut-off-instances-serve: while some instances have no links to any server,
 * though callers, the store and other instances reach them, their callers are
 * served nearly as often as others', from the stable window on. Servers that
 * all fall silent for a moment, and instances that freeze or restart, come
 * beside it.
 */
#include <errno.h>
#include <string.h>

#include "explore/p_relay.h"
#include "explore/relay_call.h"

#define FW_STABLE_US (3 * FW_SEC)
#define FW_SERVERS 8
#define FW_PLAIN_SERVERS 4
/* First attempts that may fail at instances that are cut off: fixed part. */
#define FW_TOLERATED 10
/* And of all first attempts, one in this many. */
#define FW_TOLERATED_ONE_IN 50
/* Maximum time for which a sound server is silent. */
#define FW_SILENCE_MAX_US (1200 * FW_MSEC)

/** enum cut - what happens to the links of an instance that is cut off. */
enum cut {
    FW_CUT_NONE,
    FW_CUT_HANGS,   /* nothing arrives, no connection is established */
    FW_CUT_RESETS,  /* connections are reset, new ones are refused */
    FW_CUT_LIVES_ON /* open connections work, new ones are refused */
};

/**
 * struct request - a caller's first attempt, or one that was handed over.
 * @counts: it was sent while a partition had lasted for the stable window
 * @at_cut: to an instance that is cut off
 * @is_handed_over: by the call @xid of the instance @from
 * @from_boot: lifetime of that instance
 */
struct request {
    int counts;
    int at_cut;
    int is_handed_over;
    int from;
    uint64_t from_boot;
    uint64_t xid;
};

/**
 * struct partition_env - the fleet and its callers.
 * @cut: how each instance is cut off
 * @cut_at_us: when the partition began, 0 while there is none
 * @silent_until_us: no server answers until then
 * @sent, @served: requests that count, by struct request.at_cut
 */
struct partition_env {
    struct fleet fleet;
    GArray *pending;
    GArray *requests;
    enum cut cut[FW_FLEET_MAX];
    int64_t cut_at_us;
    int64_t silent_until_us;
    int sent[2];
    int served[2];
    int open_permille;
};

static void
add_servers(struct partition_env *env, int i)
{
    struct fleet_instance *inst = &env->fleet.instances[i];

    for (int k = 0; k < FW_SERVERS; k++) {
        struct fw_rl_server_entry e = {.slots = 1000, .born_ms = 1};

        e.id = Fw_Run_Name("s%d", k);
        g_strlcpy(e.addr, e.id, sizeof(e.addr));
        e.service = k < FW_PLAIN_SERVERS ? "plain" : "llm";
        if (k >= FW_PLAIN_SERVERS) {
            e.stage = k % 2 ? FW_RL_STAGE_DECODE : FW_RL_STAGE_PREFILL;
        }
        Fw_Relay_UpdateServer(inst->relay, e.id, &e,
                              Fw_RelayFleet_Now(&env->fleet, i), &inst->acts);
    }
    g_array_set_size(inst->acts.all, 0);
}

static void
open_request(struct partition_env *env, int i, const struct request *q,
             const char *path);

/* The response of a request that was handed over reaches its instance. */
static void
pass_back(struct partition_env *env, const struct request *q, int served,
          int refused)
{
    struct fleet_instance *from = &env->fleet.instances[q->from];
    struct fw_rl_upstream_response ans = {.status = served ? 200 : 503,
                                          .limit_milli = FW_NO_LIMIT,
                                          .handover_refused = refused,
                                          .orders = -1};

    if (from->boot == q->from_boot) {
        Fw_Relay_ResponseEnded(from->relay, q->xid, &ans,
                               Fw_RelayFleet_Now(&env->fleet, q->from),
                               &from->acts);
    }
}

static void
end_request(struct partition_env *env, uint64_t call, int served, int refused)
{
    const struct request q =
        g_array_index(env->requests, struct request, call);

    if (q.is_handed_over) {
        pass_back(env, &q, served, refused);
    }
    else if (q.counts) {
        env->sent[q.at_cut]++;
        env->served[q.at_cut] += served;
    }
}

static void
start_call(struct partition_env *env, int i,
           const struct fw_rl_upstream_call *c)
{
    struct fleet *fleet = &env->fleet;
    struct relay_call p = {.call = Fw_RelayCall_Copy(c),
                           .instance = i,
                           .boot = fleet->instances[i].boot,
                           .opens_conn =
                               Fw_RelayFleet_RandBelow(fleet, 4) == 0};

    p.due_us =
        fleet->now_us + (5 + Fw_RelayFleet_RandBelow(fleet, 60)) * FW_MSEC;
    if (env->cut[i] == FW_CUT_HANGS && p.opens_conn) {
        p.due_us = fleet->now_us + c->connect_us;
    }
    g_array_append_val(env->pending, p);
}

static void
apply_actions(struct partition_env *env, int i)
{
    struct fleet_instance *inst = &env->fleet.instances[i];

    for (guint k = 0; k < inst->acts.all->len; k++) {
        const struct fw_rl_action *a =
            &g_array_index(inst->acts.all, struct fw_rl_action, k);

        switch (a->kind) {
        case FW_RL_DO_CALL:
            start_call(env, i, &a->u.upstream_call);
            break;
        case FW_RL_DO_CANCEL_CALL:
            Fw_RelayCall_Cancel(env->pending, &env->fleet, i, a->u.xid);
            break;
        case FW_RL_DO_REJECT:
            end_request(env, a->u.rejection.call, 0,
                        a->u.rejection.refuses_handover);
            break;
        case FW_RL_DO_FINISH:
            end_request(env, a->u.call, 1, 0);
            break;
        case FW_RL_DO_ABORT:
            end_request(env, a->u.call, 0, 0);
            break;
        default:
            break;
        }
    }
    g_array_set_size(inst->acts.all, 0);
}

/* Return: nonzero if the call has ended. */
static int
serve(struct partition_env *env, struct relay_call *p)
{
    if (env->fleet.now_us < env->silent_until_us) {
        p->due_us = env->silent_until_us;
        return 0;
    }
    return Fw_RelayCall_Answer(&env->fleet, p, 0);
}

static int
find_instance(const struct partition_env *env, const char *addr)
{
    for (int i = 0; i < env->fleet.n; i++) {
        if (strcmp(env->fleet.instances[i].addr, addr) == 0) {
            return i;
        }
    }
    g_assert_not_reached();
}

/* Return: nonzero if the call has arrived, zero if it has to wait. */
static int
hand_over(struct partition_env *env, const struct relay_call *p)
{
    int to = find_instance(env, p->call.addr);
    struct request q = {.is_handed_over = 1,
                        .from = p->instance,
                        .from_boot = p->boot,
                        .xid = p->call.xid};

    if (!Fw_RelayFleet_IsRunning(&env->fleet, to)) {
        return 0;
    }
    open_request(env, to, &q, p->call.buffer_response ? "/read/x" : "/gen/x");
    return 1;
}

/* Return: nonzero if the call has ended, or needs no more attention. */
static int
advance_call(struct partition_env *env, struct relay_call *p)
{
    if (p->call.kind == FW_RL_UP_HANDOVER) {
        return hand_over(env, p);
    }
    switch (env->cut[p->instance]) {
    case FW_CUT_HANGS:
        if (p->opens_conn) {
            Fw_RelayCall_Fail(&env->fleet, p, -ETIMEDOUT, 0);
            return 1;
        }
        p->due_us += 100 * FW_MSEC;
        return 0;
    case FW_CUT_RESETS:
        Fw_RelayCall_Fail(&env->fleet, p,
                          p->opens_conn ? -ECONNREFUSED : -ECONNRESET,
                          !p->opens_conn);
        return 1;
    case FW_CUT_LIVES_ON:
        if (p->opens_conn) {
            Fw_RelayCall_Fail(&env->fleet, p, -ECONNREFUSED, 0);
            return 1;
        }
        break;
    case FW_CUT_NONE:
        break;
    }
    return serve(env, p);
}

/* A callback of one call may add or cancel others. */
static void
advance_calls(struct partition_env *env)
{
    struct fleet *fleet = &env->fleet;

    for (guint k = 0; k < env->pending->len; k++) {
        struct relay_call p =
            g_array_index(env->pending, struct relay_call, k);
        int i = p.instance;
        int ended = p.boot != fleet->instances[i].boot;

        if (!ended) {
            if (fleet->now_us < p.due_us ||
                !Fw_RelayFleet_IsRunning(fleet, i)) {
                continue;
            }
            ended = advance_call(env, &p);
        }
        if (ended) {
            g_array_remove_index_fast(env->pending, k--);
        }
        else {
            g_array_index(env->pending, struct relay_call, k) = p;
        }
        apply_actions(env, i);
    }
}

static void
open_request(struct partition_env *env, int i, const struct request *q,
             const char *path)
{
    struct fleet_instance *inst = &env->fleet.instances[i];
    int generates = strcmp(path, "/gen/x") == 0;
    char text[24];
    struct fw_rl_request_info info = {.tokens_in = generates ? 1000 : -1,
                                      .tokens_out_max = generates ? 500 : -1,
                                      .tokens_out_hint = -1,
                                      .last_event_id = -1,
                                      .is_handed_over = q->is_handed_over};
    uint64_t call = env->requests->len;

    info.fingerprint = call + 1;
    g_array_append_val(env->requests, *q);
    info.host = "h";
    info.path = path;
    g_snprintf(text, sizeof(text), "%d", (int)call);
    info.id = text;
    Fw_Relay_Open(inst->relay, call, &info, Fw_RelayFleet_Now(&env->fleet, i),
                  &inst->acts);
    apply_actions(env, i);
}

/* A caller sends a request to the instance. */
static void
send_request(struct partition_env *env, int i)
{
    static const char *const paths[] = {"/read/x", "/order/x", "/gen/x"};
    int64_t lasted_us = env->fleet.now_us - env->cut_at_us;
    struct request q = {.counts = env->cut_at_us && lasted_us >= FW_STABLE_US,
                        .at_cut = env->cut[i] != FW_CUT_NONE};

    open_request(env, i, &q, paths[Fw_RelayFleet_RandBelow(&env->fleet, 3)]);
}

static void
run_instances(struct partition_env *env)
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
            send_request(env, i);
        }
    }
}

static void
check_served(struct partition_env *env)
{
    int tolerated =
        FW_TOLERATED + (env->sent[0] + env->sent[1]) / FW_TOLERATED_ONE_IN;

    if (env->sent[1] - env->served[1] > tolerated &&
        (int64_t)env->served[1] * env->sent[0] * 3 <
            (int64_t)env->served[0] * env->sent[1] * 2) {
        Fw_Run_Fail(env->fleet.run,
                    "cut off: %d of %d served, others: %d of %d; %d instances",
                    env->served[1], env->sent[1], env->served[0], env->sent[0],
                    env->fleet.n);
    }
}

static void
heal(struct partition_env *env)
{
    check_served(env);
    memset(env->cut, 0, sizeof(env->cut));
    memset(env->sent, 0, sizeof(env->sent));
    memset(env->served, 0, sizeof(env->served));
    for (guint k = 0; k < env->requests->len; k++) {
        g_array_index(env->requests, struct request, k).counts = 0;
    }
    env->cut_at_us = 0;
    Fw_Run_Trace(env->fleet.run, "healed");
}

/* Cuts off some instances, but not all. */
static void
cut_off(struct partition_env *env)
{
    struct fleet *fleet = &env->fleet;
    int share = 1 + Fw_RelayFleet_RandBelow(fleet, 7);
    int spared = Fw_RelayFleet_RandBelow(fleet, fleet->n);
    enum cut how = (enum cut)(1 + Fw_RelayFleet_RandBelow(fleet, 3));

    env->cut_at_us = fleet->now_us;
    for (int i = 0; i < fleet->n; i++) {
        if (i != spared && Fw_RelayFleet_RandBelow(fleet, 10) < share) {
            env->cut[i] = how;
        }
    }
    Fw_Run_Trace(fleet->run, "cut off, kind %d, %d in 10", (int)how, share);
}

static void
disturb(struct partition_env *env)
{
    struct fleet *fleet = &env->fleet;
    int i = Fw_RelayFleet_RandBelow(fleet, fleet->n);
    int64_t lasted_us = fleet->now_us - env->cut_at_us;

    if (env->cut_at_us && lasted_us >= 12 * FW_SEC) {
        heal(env);
    }
    switch (Fw_RelayFleet_RandBelow(fleet, 400)) {
    case 0:
    case 1:
    case 2:
        if (!env->cut_at_us) {
            cut_off(env);
        }
        break;
    case 3:
        if (env->cut[i] == FW_CUT_NONE) {
            fleet->instances[i].frozen_until_us =
                fleet->now_us + Fw_RelayFleet_RandBelow(fleet, 3 * FW_SEC);
        }
        break;
    case 4:
        Fw_RelayFleet_Restart(fleet, i);
        add_servers(env, i);
        break;
    case 5:
        env->silent_until_us =
            fleet->now_us + Fw_RelayFleet_RandBelow(fleet, FW_SILENCE_MAX_US);
        break;
    default:
        break;
    }
}

void
Fw_Explore_RelayPartition(struct fw_run *run)
{
    struct partition_env *env = g_new0(struct partition_env, 1);
    struct fw_rl_rules *rules = Fw_RelayFleet_NewRules(0);
    int n = Fw_RelayFleet_DrawSize(run);

    env->pending = g_array_new(FALSE, FALSE, sizeof(struct relay_call));
    env->requests = g_array_new(FALSE, TRUE, sizeof(struct request));
    env->open_permille = MAX(1200 / n, 40);
    Fw_RelayFleet_Init(&env->fleet, run, n, rules);
    env->fleet.expires_members = 1;
    for (int i = 0; i < n; i++) {
        add_servers(env, i);
    }
    for (int s = 0; s < run->steps && !run->failure[0]; s++) {
        disturb(env);
        Fw_RelayFleet_Advance(&env->fleet, 20 * FW_MSEC);
        advance_calls(env);
        run_instances(env);
    }
    check_served(env);
    Fw_RelayFleet_Clear(&env->fleet);
    Fw_Rules_Unref(rules);
    g_array_unref(env->requests);
    g_array_unref(env->pending);
    g_free(env);
}
