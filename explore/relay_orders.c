/*
 * one-order-holder: the fencing tokens of orders to engines never decrease,
 * and orders of two instances have different tokens and are at least 2 s
 * apart, although claims are answered late or with an unknown outcome and
 * instances are suspended and restarted.
 */
#include "explore/p_relay.h"
#include "explore/relay_fleet.h"

#define FW_ENGINE_COUNT 6

/**
 * struct claim - a claim on its way to the log, or the log's reply.
 * @boot: boot number of the claiming instance
 * @append_at: offset at which the claim must be appended
 * @sent_us: on the claiming instance's clock
 * @due_us: when the claim or the reply arrives
 * @decided: the log has decided; @result and @offset are set
 */
struct claim {
    int instance;
    uint64_t boot;
    uint64_t append_at;
    int64_t sent_us;
    int64_t due_us;
    int decided;
    enum fw_rl_claim_result result;
    uint64_t offset;
};

/**
 * struct order_env - instances, the log, and the engines.
 * @claims: of struct claim
 * @log_end: offset at which the log appends next
 * @last_fence: highest token of an order so far, 0 before the first
 * @last_sender, @last_us: sending instance and time of the last order
 * @stage, @orders: of each engine; @orders: orders accepted
 */
struct order_env {
    struct fleet fleet;
    GPtrArray *claims;
    uint64_t log_end;
    uint64_t last_fence;
    int last_sender;
    int64_t last_us;
    enum fw_rl_stage stage[FW_ENGINE_COUNT];
    int64_t orders[FW_ENGINE_COUNT];
};

static void
update_engines(struct order_env *env, int i)
{
    struct fleet_instance *inst = &env->fleet.instances[i];

    for (int e = 0; e < FW_ENGINE_COUNT; e++) {
        struct fw_rl_server_entry entry = {.service = "llm",
                                           .slots = 8,
                                           .stage = env->stage[e],
                                           .born_ms = 1};

        entry.id = Fw_Run_Name("e%d", e);
        g_snprintf(entry.addr, sizeof(entry.addr), "10.1.0.%d:1", e);
        Fw_Relay_UpdateServer(inst->relay, entry.id, &entry,
                              Fw_RelayFleet_Now(&env->fleet, i), &inst->acts);
    }
    Fw_Relay_SetFreshAsOf(inst->relay, Fw_RelayFleet_Now(&env->fleet, i));
}

/* Checks an order of instance @i against earlier ones and carries it out. */
static void
apply_order(struct order_env *env, int i, const struct fw_rl_upstream_call *c)
{
    int e = c->server[1] - '0';

    if (env->last_fence && c->fence < env->last_fence) {
        Fw_Run_Fail(env->fleet.run, "%s orders with token %d after %d",
                    env->fleet.instances[i].name, (int)c->fence,
                    (int)env->last_fence);
    }
    if (env->last_fence && env->last_sender != i &&
        env->fleet.now_us - env->last_us < 3 * FW_SEC &&
        c->fence <= env->last_fence) {
        Fw_Run_Fail(env->fleet.run, "%s and %s share token %d",
                    env->fleet.instances[i].name,
                    env->fleet.instances[env->last_sender].name,
                    (int)c->fence);
    }
    if (env->last_fence && env->last_sender != i &&
        env->fleet.now_us - env->last_us < 2 * FW_SEC) {
        Fw_Run_Fail(env->fleet.run, "%s orders %d ms after %s",
                    env->fleet.instances[i].name,
                    (int)((env->fleet.now_us - env->last_us) / FW_MSEC),
                    env->fleet.instances[env->last_sender].name);
    }
    env->last_fence = MAX(c->fence, env->last_fence);
    env->last_sender = i;
    env->last_us = env->fleet.now_us;
    env->stage[e] = c->stage;
    env->orders[e]++;
    Fw_Run_Trace(env->fleet.run, "%s orders e%d token %d",
                 env->fleet.instances[i].name, e, (int)c->fence);
}

static void
respond(struct order_env *env, int i, const struct fw_rl_upstream_call *c)
{
    struct fleet_instance *inst = &env->fleet.instances[i];
    int e = c->server[1] - '0';
    struct fw_rl_upstream_response a = {
        .status = 200, .stage = env->stage[e], .orders = env->orders[e]};

    if (c->kind == FW_RL_UP_SET_STAGE) {
        apply_order(env, i, c);
        a.status = 202;
    }
    if (Fw_RelayFleet_RandBelow(&env->fleet, 100) < 10) {
        Fw_Relay_UpstreamFailed(inst->relay, c->xid, -110, 1,
                                Fw_RelayFleet_Now(&env->fleet, i),
                                &inst->acts);
        return;
    }
    Fw_Relay_ResponseEnded(inst->relay, c->xid, &a,
                           Fw_RelayFleet_Now(&env->fleet, i), &inst->acts);
}

static void
send_claim(struct order_env *env, int i, uint64_t append_at)
{
    struct claim *c = g_new0(struct claim, 1);

    *c = (struct claim){
        .instance = i,
        .boot = env->fleet.instances[i].boot,
        .append_at = append_at,
        .sent_us = Fw_RelayFleet_Now(&env->fleet, i),
        .due_us = env->fleet.now_us +
                  Fw_RelayFleet_RandBelow(&env->fleet, 900 * FW_MSEC)};
    g_ptr_array_add(env->claims, c);
}

/*
 * Delivers claims that are due to the log, and its replies to the claimants.
 * Some replies report the outcome as unknown, and those to an instance that
 * has been restarted are dropped.
 */
static void
deliver_claims(struct order_env *env)
{
    for (guint k = 0; k < env->claims->len;) {
        struct claim *c = g_ptr_array_index(env->claims, k);
        struct fleet_instance *inst = &env->fleet.instances[c->instance];

        if (env->fleet.now_us < c->due_us ||
            (c->decided &&
             !Fw_RelayFleet_IsRunning(&env->fleet, c->instance))) {
            k++;
            continue;
        }
        if (!c->decided) {
            c->decided = 1;
            c->result = c->append_at == env->log_end ? FW_RL_CLAIM_WON
                                                     : FW_RL_CLAIM_LOST;
            env->log_end += c->result == FW_RL_CLAIM_WON;
            c->offset =
                c->result == FW_RL_CLAIM_WON ? env->log_end - 1 : env->log_end;
            c->due_us += Fw_RelayFleet_RandBelow(&env->fleet, 900 * FW_MSEC);
            if (Fw_RelayFleet_RandBelow(&env->fleet, 100) < 15) {
                c->result = FW_RL_CLAIM_UNKNOWN;
            }
            k++;
            continue;
        }
        if (c->boot == inst->boot) {
            Fw_Relay_ClaimEnded(inst->relay, c->result, c->offset, c->sent_us,
                                Fw_RelayFleet_Now(&env->fleet, c->instance));
        }
        g_ptr_array_remove_index(env->claims, k);
    }
}

static void
run_instance(struct order_env *env, int i)
{
    struct fleet_instance *inst = &env->fleet.instances[i];

    if (!Fw_RelayFleet_IsRunning(&env->fleet, i)) {
        return;
    }
    Fw_Relay_Tick(inst->relay, Fw_RelayFleet_Now(&env->fleet, i), &inst->acts);
    for (guint k = 0; k < inst->acts.all->len; k++) {
        struct fw_rl_action a =
            g_array_index(inst->acts.all, struct fw_rl_action, k);

        if (a.kind == FW_RL_DO_CLAIM_ROLE) {
            send_claim(env, i, a.u.claim_offset);
        }
        else if (a.kind == FW_RL_DO_CALL) {
            respond(env, i, &a.u.upstream_call);
        }
    }
    g_array_set_size(inst->acts.all, 0);
}

static struct fw_rl_rules *
make_rules(void)
{
    struct fw_rl_rules *r = Fw_Rules_New();
    struct fw_rl_service_rule *s = Fw_Rules_AddService(r);

    r->version = 1;
    s->name = "llm";
    s->has_engines = 1;
    s->engine = (struct fw_rl_engine_spec){
        .slots = 8, .kv_tokens = 100000, .stage_change_us = 100 * FW_MSEC};
    return r;
}

void
Fw_Explore_RelayOrders(struct fw_run *run)
{
    struct fw_rl_rules *rules = make_rules();
    struct order_env env = {.last_sender = -1};

    Fw_RelayFleet_Init(&env.fleet, run, 3, rules);
    env.claims = g_ptr_array_new_with_free_func(g_free);
    for (int s = 0; s < run->steps && !run->failure[0]; s++) {
        int i = Fw_RelayFleet_RandBelow(&env.fleet, env.fleet.n);
        int e = Fw_RelayFleet_RandBelow(&env.fleet, FW_ENGINE_COUNT);

        Fw_RelayFleet_Advance(
            &env.fleet, Fw_RelayFleet_RandBelow(&env.fleet, 200) * FW_MSEC);
        if (Fw_RelayFleet_RandBelow(&env.fleet, 2) == 0) {
            env.stage[e] = Fw_RelayFleet_RandBelow(&env.fleet, 2)
                               ? FW_RL_STAGE_PREFILL
                               : FW_RL_STAGE_DECODE;
        }
        if (Fw_RelayFleet_RandBelow(&env.fleet, 15) == 0) {
            env.fleet.instances[i].frozen_until_us =
                env.fleet.now_us +
                Fw_RelayFleet_RandBelow(&env.fleet, 7 * FW_SEC);
        }
        if (Fw_RelayFleet_RandBelow(&env.fleet, 150) == 0) {
            Fw_RelayFleet_Restart(&env.fleet, i);
        }
        deliver_claims(&env);
        for (int k = 0; k < env.fleet.n; k++) {
            update_engines(&env, k);
            run_instance(&env, k);
        }
    }
    g_ptr_array_unref(env.claims);
    Fw_RelayFleet_Clear(&env.fleet);
    Fw_Rules_Unref(rules);
}
