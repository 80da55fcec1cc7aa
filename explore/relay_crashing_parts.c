/*
 * crashing-parts-are-kept-away: requests with a part that crashes every engine
 * that begins to write an answer on it are kept from the engines once five
 * have ended (three, if it is the same request each time), and sound requests
 * that share their caller and their other parts are served.
 *
 * crashes-blame-nobody: while engines crash one after the other for reasons of
 * their own, sound requests are served.
 *
 * Beside it engines crash and reset connections, instances restart and freeze,
 * most requests reach one instance for a while, and messages are lost.
 *
 * quarantines-outlast-all: the first of these holds over kills of all
 * instances, at once or one after the other, before a store that goes away and
 * comes back. Requests that instances send right after their start count too.
 */
#include <errno.h>
#include <string.h>

#include "explore/p_relay.h"
#include "explore/relay_crash_env.h"

/* Requests a second of the fleet. */
#define FW_SOUND_PER_S 40
#define FW_STEP_US (20 * FW_MSEC)
#define FW_STEPS_PER_S 50
/* Time from which on engines crash: part of the run, and maximum. */
#define FW_ONSET_PART 5
#define FW_ONSET_MAX_US (6 * FW_SEC)
/* Requests with a culprit that may reach engines after the bound. */
#define FW_REACH_MAX 3
/* Engine of a call to another instance, which accepts no connections here. */
#define FW_NO_ENGINE (-1)

static int
happens(struct crash_env *env, double per_s)
{
    return g_rand_double(env->fleet.run->rand) < per_s / FW_STEPS_PER_S;
}

static int
is_under_attack(const struct crash_env *env)
{
    return env->fleet.now_us - env->start_us >= env->onset_us;
}

static struct request *
request_of(struct crash_env *env, const struct relay_call *c)
{
    return &g_array_index(env->requests, struct request, c->call.call);
}

static void
start_call(struct crash_env *env, int i, const struct fw_rl_upstream_call *up)
{
    struct fleet *fleet = &env->fleet;
    struct relay_call c = {.call = Fw_RelayCall_Copy(up),
                           .instance = i,
                           .boot = fleet->instances[i].boot,
                           .server = up->kind == FW_RL_UP_HANDOVER
                                         ? FW_NO_ENGINE
                                         : Fw_CrashEngines_Find(up)};

    c.arrive_us = fleet->now_us + FW_MSEC;
    c.stream_us = (600 + Fw_RelayFleet_RandBelow(fleet, 1900)) * FW_MSEC;
    c.due_us =
        c.arrive_us + (up->kind == FW_RL_UP_RUN || up->kind == FW_RL_UP_PREFILL
                           ? 20 + Fw_RelayFleet_RandBelow(fleet, 60)
                           : 0) *
                          FW_MSEC;
    g_array_append_val(env->engines.calls, c);
}

void
Fw_CrashEnv_ApplyActions(struct crash_env *env, int i)
{
    struct fleet_instance *inst = &env->fleet.instances[i];

    for (guint k = 0; k < inst->acts.all->len; k++) {
        const struct fw_rl_action *a =
            &g_array_index(inst->acts.all, struct fw_rl_action, k);

        if (a->kind == FW_RL_DO_CALL) {
            start_call(env, i, &a->u.upstream_call);
        }
        else if (a->kind == FW_RL_DO_CANCEL_CALL) {
            Fw_RelayCall_Cancel(env->engines.calls, &env->fleet, i, a->u.xid);
        }
        else if (a->kind == FW_RL_DO_FORWARD) {
            const struct request *q = &g_array_index(
                env->requests, struct request, a->u.forward.call);

            env->served[q->phase]++;
        }
    }
    g_array_set_size(inst->acts.all, 0);
}

static void
apply_all_actions(struct crash_env *env)
{
    for (int i = 0; i < env->fleet.n; i++) {
        Fw_CrashEnv_ApplyActions(env, i);
    }
}

/* A call has reached an engine. */
static void
note_arrival(struct crash_env *env, const struct relay_call *c)
{
    struct request *q = request_of(env, c);
    struct culprit *b;

    if (q->culprit == FW_NO_CULPRIT) {
        return;
    }
    b = &env->culprits[q->culprit];
    if (!b->bound_us || env->fleet.now_us < b->bound_us || q->has_reached ||
        (!env->store && !Fw_CrashEnv_IsInTouch(env, c->instance))) {
        return;
    }
    q->has_reached = 1;
    b->n_reached++;
    Fw_Run_Trace(env->fleet.run, "culprit %d reaches %s from %d", q->culprit,
                 c->call.server, c->instance);
    if (b->n_reached > FW_REACH_MAX) {
        Fw_Run_Fail(env->fleet.run,
                    "kind %d, %.1f a second, reached engines %d times after "
                    "%d had ended; %d ended in all; %d instances",
                    (int)b->kind, b->per_s, b->n_reached,
                    b->kind == FW_WHOLE_REQUEST ? 3 : 5,
                    env->engines.n_crashes, env->fleet.n);
    }
}

static void
crash_under(struct crash_env *env, struct culprit *b, int server)
{
    b->n_crashes++;
    Fw_Run_Trace(env->fleet.run, "crash %d of engine %d at %d ms",
                 b->n_crashes, server,
                 (int)((env->fleet.now_us - env->start_us) / FW_MSEC));
    if (b->n_crashes == (b->kind == FW_WHOLE_REQUEST ? 3 : 5)) {
        b->bound_us = env->fleet.now_us + FW_STABLE_US;
    }
    Fw_CrashEngines_Crash(&env->engines, &env->fleet, server);
}

/*
 * The response to a run with a culprit is due. Some engines send the head and
 * end a moment later. Return: nonzero if the call is no longer pending.
 */
static int
run_culprit(struct crash_env *env, struct relay_call *c, struct culprit *b)
{
    if (!c->has_begun && Fw_RelayFleet_RandBelow(&env->fleet, 2)) {
        c->stream_us =
            (50 + Fw_RelayFleet_RandBelow(&env->fleet, 60)) * FW_MSEC;
        return Fw_RelayCall_Answer(&env->fleet, c, 0);
    }
    crash_under(env, b, c->server);
    return 1;
}

/* Return: nonzero if the call is no longer pending. */
static int
answer(struct crash_env *env, struct relay_call *c)
{
    const struct request *q;

    if (c->call.kind == FW_RL_UP_RUN) {
        q = request_of(env, c);
        if (q->culprit != FW_NO_CULPRIT) {
            return run_culprit(env, c, &env->culprits[q->culprit]);
        }
    }
    return Fw_RelayCall_Answer(&env->fleet, c, 0);
}

/* Return: nonzero if the call is no longer pending. */
static int
advance_call(struct crash_env *env, struct relay_call *c)
{
    if (!c->has_arrived && env->fleet.now_us >= c->arrive_us) {
        if (c->server == FW_NO_ENGINE ||
            !Fw_CrashEngines_Accepts(&env->engines, &c->call)) {
            Fw_RelayCall_Fail(&env->fleet, c, -ECONNREFUSED, 0);
            return 1;
        }
        c->has_arrived = 1;
        if (c->call.kind == FW_RL_UP_RUN || c->call.kind == FW_RL_UP_PREFILL) {
            note_arrival(env, c);
        }
    }
    return c->has_arrived && env->fleet.now_us >= c->due_us && answer(env, c);
}

/* Calls that came or went meanwhile are seen in the next step. */
static void
advance_calls(struct crash_env *env)
{
    GArray *calls = env->engines.calls;

    for (guint k = 0; k < calls->len; k++) {
        struct relay_call c = g_array_index(calls, struct relay_call, k);
        int n_crashes = env->engines.n_crashes;

        if (c.boot == env->fleet.instances[c.instance].boot &&
            !Fw_RelayFleet_IsRunning(&env->fleet, c.instance)) {
            continue;
        }
        if (c.boot != env->fleet.instances[c.instance].boot ||
            advance_call(env, &c)) {
            if (env->engines.n_crashes != n_crashes) {
                apply_all_actions(env);
                return;
            }
            g_array_remove_index_fast(calls, k--);
        }
        else {
            g_array_index(calls, struct relay_call, k) = c;
        }
        Fw_CrashEnv_ApplyActions(env, c.instance);
        calls = env->engines.calls;
    }
}

static void
send_requests(struct crash_env *env, int is_last)
{
    if (!is_last && happens(env, FW_SOUND_PER_S)) {
        Fw_CrashEnv_SendRequest(env, FW_NO_CULPRIT);
    }
    for (int b = 0; is_under_attack(env) && b < env->n_culprits; b++) {
        if (happens(env, env->culprits[b].per_s)) {
            Fw_CrashEnv_SendRequest(env, b);
        }
    }
}

static void
restart(struct crash_env *env, int i)
{
    Fw_RelayFleet_Restart(&env->fleet, i);
    Fw_CrashEngines_List(&env->engines, &env->fleet, i);
    env->disturbed_us[i] = env->fleet.now_us;
    if (env->store) {
        Fw_CrashRecords_Start(env, i);
    }
}

static void
disturb_instances(struct crash_env *env)
{
    struct fleet *fleet = &env->fleet;
    int i = Fw_RelayFleet_RandBelow(fleet, fleet->n);

    if (env->all_restart_us && fleet->now_us >= env->all_restart_us) {
        env->all_restart_us = 0;
        Fw_Run_Trace(fleet->run, "all instances restart");
        for (int k = 0; k < fleet->n; k++) {
            restart(env, k);
        }
    }
    else if (happens(env, 0.15)) {
        restart(env, i);
    }
    else if (happens(env, 0.1)) {
        fleet->instances[i].frozen_until_us =
            fleet->now_us + Fw_RelayFleet_RandBelow(fleet, 3 * FW_SEC);
        env->disturbed_us[i] = fleet->instances[i].frozen_until_us;
    }
    else if (happens(env, 0.05)) {
        env->favoured = i;
        env->favoured_until_us = fleet->now_us + 5 * FW_SEC;
    }
}

static void
disturb_engines(struct crash_env *env)
{
    int k = Fw_RelayFleet_RandBelow(&env->fleet, FW_ENGINES);

    if (is_under_attack(env) && happens(env, env->crash_per_s)) {
        Fw_CrashEngines_Crash(&env->engines, &env->fleet, k);
    }
    else if (happens(env, 0.1)) {
        Fw_CrashEngines_Reset(&env->engines, &env->fleet, k);
    }
    Fw_CrashEngines_Advance(&env->engines, &env->fleet);
    apply_all_actions(env);
}

static void
check_served(struct crash_env *env)
{
    int64_t before = env->served[FW_PHASE_BEFORE];
    int64_t after = env->served[FW_PHASE_AFTER];

    if (env->sent[FW_PHASE_BEFORE] >= FW_COMPARED_MIN &&
        env->sent[FW_PHASE_AFTER] >= FW_COMPARED_MIN &&
        after * env->sent[FW_PHASE_BEFORE] * 2 <
            before * env->sent[FW_PHASE_AFTER]) {
        Fw_Run_Fail(env->fleet.run,
                    "sound requests: %d of %d began before, %d of %d after; "
                    "%d engines ended; %d instances",
                    (int)before, env->sent[FW_PHASE_BEFORE], (int)after,
                    env->sent[FW_PHASE_AFTER], env->engines.n_crashes,
                    env->fleet.n);
    }
}

static void
step(struct crash_env *env, int is_last)
{
    if (env->store) {
        Fw_CrashRecords_Advance(env);
        Fw_CrashRecords_KillInstances(env, restart);
    }
    else {
        disturb_instances(env);
    }
    disturb_engines(env);
    Fw_RelayFleet_Advance(&env->fleet, FW_STEP_US);
    advance_calls(env);
    for (int i = 0; i < env->fleet.n; i++) {
        if (Fw_RelayFleet_IsRunning(&env->fleet, i)) {
            Fw_Relay_Tick(env->fleet.instances[i].relay,
                          Fw_RelayFleet_Now(&env->fleet, i),
                          &env->fleet.instances[i].acts);
            Fw_CrashEnv_ApplyActions(env, i);
        }
    }
    send_requests(env, is_last);
}

static void
run_fleet(struct crash_env *env, struct fw_run *run)
{
    struct fw_rl_rules *rules =
        Fw_RelayFleet_NewRules(g_rand_boolean(run->rand));
    int last = run->steps - (int)(FW_UNFINISHED_US / FW_STEP_US);

    env->requests = g_array_new(FALSE, TRUE, sizeof(struct request));
    Fw_RelayFleet_Init(&env->fleet, run, Fw_RelayFleet_DrawSize(run), rules);
    env->fleet.expires_members = 1;
    env->start_us = env->fleet.now_us;
    env->same_body = g_rand_int_range(run->rand, 0, 3) == 0;
    if (env->restarts_all) {
        env->all_restart_us = env->start_us + run->steps * FW_STEP_US / 2;
    }
    env->onset_us =
        MIN(FW_ONSET_MAX_US, run->steps * FW_STEP_US / FW_ONSET_PART);
    Fw_CrashEngines_Init(&env->engines, &env->fleet);
    for (int s = 0; s < run->steps && !run->failure[0]; s++) {
        step(env, s >= last);
    }
    check_served(env);
    Fw_RelayFleet_Clear(&env->fleet);
    Fw_CrashEngines_Clear(&env->engines);
    Fw_Rules_Unref(rules);
    g_array_unref(env->requests);
}

void
Fw_Explore_RelayCrashingParts(struct fw_run *run)
{
    struct crash_env *env = g_new0(struct crash_env, 1);

    env->n_culprits = 1 + (g_rand_int_range(run->rand, 0, 4) == 0);
    env->crash_per_s = 0.2;
    for (int b = 0; b < env->n_culprits; b++) {
        env->culprits[b].kind = (enum culprit_kind)g_rand_int_range(
            run->rand, 0, FW_CULPRIT_KINDS);
        env->culprits[b].per_s = g_rand_double_range(run->rand, 1.2, 8);
    }
    env->restarts_all = g_rand_int_range(run->rand, 0, 4) == 0;
    run_fleet(env, run);
    g_free(env);
}

void
Fw_Explore_RelayKills(struct fw_run *run)
{
    struct crash_env *env = g_new0(struct crash_env, 1);

    env->n_culprits = 1;
    env->culprits[0].kind =
        (enum culprit_kind)g_rand_int_range(run->rand, 0, FW_CULPRIT_KINDS);
    env->culprits[0].per_s = g_rand_double_range(run->rand, 1.2, 8);
    env->store = Fw_CrashRecords_New();
    run_fleet(env, run);
    Fw_CrashRecords_Free(env->store);
    g_free(env);
}

void
Fw_Explore_RelayCrashes(struct fw_run *run)
{
    struct crash_env *env = g_new0(struct crash_env, 1);

    env->crash_per_s = g_rand_double_range(run->rand, 0.5, 1.5);
    run_fleet(env, run);
    g_free(env);
}
