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
    int site;
    uint64_t boot;
    uint64_t append_at;
    int64_t sent_us;
    int64_t due_us;
    int decided;
    enum fw_rl_claim_result result;
    uint64_t offset;
};

/**
 * struct order_world - instances, the log, and the engines.
 * @claims: of struct claim
 * @log_end: offset at which the log appends next
 * @last_fence: highest token of an order so far, 0 before the first
 * @last_site, @last_us: sender and time of the last order
 * @stage, @orders: of each engine; @orders: orders accepted
 */
struct order_world {
    struct fleet f;
    GPtrArray *claims;
    uint64_t log_end;
    uint64_t last_fence;
    int last_site;
    int64_t last_us;
    enum fw_rl_stage stage[FW_ENGINE_COUNT];
    int64_t orders[FW_ENGINE_COUNT];
};

static void
update_engines(struct order_world *w, int i)
{
    struct fleet_site *s = &w->f.sites[i];

    for (int e = 0; e < FW_ENGINE_COUNT; e++) {
        struct fw_rl_server_entry entry = {
            .service = "llm", .slots = 8, .stage = w->stage[e], .born_ms = 1};

        g_snprintf(entry.id, sizeof(entry.id), "e%d", e);
        g_snprintf(entry.addr, sizeof(entry.addr), "10.1.0.%d:1", e);
        Fw_Relay_UpdateServer(s->relay, entry.id, &entry,
                              Fw_RelayFleet_Now(&w->f, i), &s->acts);
    }
    Fw_Relay_SetFreshAsOf(s->relay, Fw_RelayFleet_Now(&w->f, i));
}

/* Checks an order of instance @i against earlier ones and carries it out. */
static void
apply_order(struct order_world *w, int i, const struct fw_rl_upstream_call *c)
{
    int e = c->server[1] - '0';

    if (w->last_fence && c->fence < w->last_fence) {
        Fw_Run_Fail(w->f.run, "%s orders with token %d after %d",
                    w->f.sites[i].name, (int)c->fence, (int)w->last_fence);
    }
    if (w->last_fence && w->last_site != i &&
        w->f.now_us - w->last_us < 3 * FW_SEC && c->fence <= w->last_fence) {
        Fw_Run_Fail(w->f.run, "%s and %s share token %d", w->f.sites[i].name,
                    w->f.sites[w->last_site].name, (int)c->fence);
    }
    if (w->last_fence && w->last_site != i &&
        w->f.now_us - w->last_us < 2 * FW_SEC) {
        Fw_Run_Fail(w->f.run, "%s orders %d ms after %s", w->f.sites[i].name,
                    (int)((w->f.now_us - w->last_us) / FW_MSEC),
                    w->f.sites[w->last_site].name);
    }
    w->last_fence = MAX(c->fence, w->last_fence);
    w->last_site = i;
    w->last_us = w->f.now_us;
    w->stage[e] = c->stage;
    w->orders[e]++;
    Fw_Run_Trace(w->f.run, "%s orders e%d token %d", w->f.sites[i].name, e,
                 (int)c->fence);
}

static void
respond(struct order_world *w, int i, const struct fw_rl_upstream_call *c)
{
    struct fleet_site *s = &w->f.sites[i];
    int e = c->server[1] - '0';
    struct fw_rl_upstream_response a = {
        .status = 200, .stage = w->stage[e], .orders = w->orders[e]};

    if (c->kind == FW_RL_UP_SET_STAGE) {
        apply_order(w, i, c);
        a.status = 202;
    }
    if (Fw_RelayFleet_RandBelow(&w->f, 100) < 10) {
        Fw_Relay_UpstreamFailed(s->relay, c->xid, -110, 1,
                                Fw_RelayFleet_Now(&w->f, i), &s->acts);
        return;
    }
    Fw_Relay_ResponseEnded(s->relay, c->xid, &a, Fw_RelayFleet_Now(&w->f, i),
                           &s->acts);
}

static void
send_claim(struct order_world *w, int i, uint64_t append_at)
{
    struct claim *c = g_new0(struct claim, 1);

    *c = (struct claim){
        .site = i,
        .boot = w->f.sites[i].boot,
        .append_at = append_at,
        .sent_us = Fw_RelayFleet_Now(&w->f, i),
        .due_us = w->f.now_us + Fw_RelayFleet_RandBelow(&w->f, 900 * FW_MSEC)};
    g_ptr_array_add(w->claims, c);
}

/*
 * Delivers claims that are due to the log, and its replies to the claimants.
 * Some replies report the outcome as unknown, and those to an instance that
 * has been restarted are dropped.
 */
static void
deliver_claims(struct order_world *w)
{
    for (guint k = 0; k < w->claims->len;) {
        struct claim *c = g_ptr_array_index(w->claims, k);
        struct fleet_site *s = &w->f.sites[c->site];

        if (w->f.now_us < c->due_us ||
            (c->decided && !Fw_RelayFleet_IsRunning(&w->f, c->site))) {
            k++;
            continue;
        }
        if (!c->decided) {
            c->decided = 1;
            c->result = c->append_at == w->log_end ? FW_RL_CLAIM_WON
                                                   : FW_RL_CLAIM_LOST;
            w->log_end += c->result == FW_RL_CLAIM_WON;
            c->offset =
                c->result == FW_RL_CLAIM_WON ? w->log_end - 1 : w->log_end;
            c->due_us += Fw_RelayFleet_RandBelow(&w->f, 900 * FW_MSEC);
            if (Fw_RelayFleet_RandBelow(&w->f, 100) < 15) {
                c->result = FW_RL_CLAIM_UNKNOWN;
            }
            k++;
            continue;
        }
        if (c->boot == s->boot) {
            Fw_Relay_ClaimEnded(s->relay, c->result, c->offset, c->sent_us,
                                Fw_RelayFleet_Now(&w->f, c->site));
        }
        g_ptr_array_remove_index(w->claims, k);
    }
}

static void
run_instance(struct order_world *w, int i)
{
    struct fleet_site *s = &w->f.sites[i];

    if (!Fw_RelayFleet_IsRunning(&w->f, i)) {
        return;
    }
    Fw_Relay_Tick(s->relay, Fw_RelayFleet_Now(&w->f, i), &s->acts);
    for (guint k = 0; k < s->acts.all->len; k++) {
        struct fw_rl_action a =
            g_array_index(s->acts.all, struct fw_rl_action, k);

        if (a.kind == FW_RL_DO_CLAIM_ROLE) {
            send_claim(w, i, a.u.claim_offset);
        }
        else if (a.kind == FW_RL_DO_CALL) {
            respond(w, i, &a.u.upstream_call);
        }
    }
    g_array_set_size(s->acts.all, 0);
}

static struct fw_rl_rules *
make_rules(void)
{
    struct fw_rl_rules *r = Fw_Rules_New();
    struct fw_rl_service_rule *s = Fw_Rules_AddService(r);

    r->version = 1;
    g_strlcpy(s->name, "llm", sizeof(s->name));
    s->has_engines = 1;
    s->engine = (struct fw_rl_engine_spec){
        .slots = 8, .kv_tokens = 100000, .stage_change_us = 100 * FW_MSEC};
    return r;
}

void
Fw_Explore_RelayOrders(struct fw_run *run)
{
    struct fw_rl_rules *rules = make_rules();
    struct order_world w = {.last_site = -1};

    Fw_RelayFleet_Init(&w.f, run, 3, rules);
    w.claims = g_ptr_array_new_with_free_func(g_free);
    for (int s = 0; s < run->steps && !run->failure[0]; s++) {
        int i = Fw_RelayFleet_RandBelow(&w.f, w.f.n);
        int e = Fw_RelayFleet_RandBelow(&w.f, FW_ENGINE_COUNT);

        Fw_RelayFleet_Advance(&w.f,
                              Fw_RelayFleet_RandBelow(&w.f, 200) * FW_MSEC);
        if (Fw_RelayFleet_RandBelow(&w.f, 8) == 0) {
            w.stage[e] = Fw_RelayFleet_RandBelow(&w.f, 2) ? FW_RL_STAGE_PREFILL
                                                          : FW_RL_STAGE_DECODE;
        }
        if (Fw_RelayFleet_RandBelow(&w.f, 25) == 0) {
            w.f.sites[i].frozen_until_us =
                w.f.now_us + Fw_RelayFleet_RandBelow(&w.f, 7 * FW_SEC);
        }
        if (Fw_RelayFleet_RandBelow(&w.f, 150) == 0) {
            Fw_RelayFleet_Restart(&w.f, i);
        }
        deliver_claims(&w);
        for (int k = 0; k < w.f.n; k++) {
            update_engines(&w, k);
            run_instance(&w, k);
        }
    }
    g_ptr_array_unref(w.claims);
    Fw_RelayFleet_Clear(&w.f);
    Fw_Rules_Unref(rules);
}
