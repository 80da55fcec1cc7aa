/*
 * one-order-holder: orders to engines bear rising fencing tokens, and two
 * instances never order within a lease of each other, although claims are
 * answered late or not at all and instances stand still.
 */
#include "explore/p_relay.h"
#include "explore/relay_fleet.h"

#define FW_ENGINES 6

/** struct claim - a claim under way to the log, or its answer back. */
struct claim {
    int site;
    uint64_t boot;
    uint64_t end;
    int64_t sent_us; /* on the site's clock */
    int64_t at_us;
    int done; /* the log has dealt with it */
    enum fw_rl_claim result;
    uint64_t offset;
};

/** struct order_world - the log's end and what the engines have seen. */
struct order_world {
    struct fleet f;
    GPtrArray *claims;
    uint64_t log_end;
    uint64_t last_fence;
    int last_site;
    int64_t last_us;
    enum fw_rl_stage stage[FW_ENGINES];
    int64_t orders[FW_ENGINES];
};

static void
list_engines(struct order_world *w, int i)
{
    struct fleet_site *s = &w->f.sites[i];

    for (int e = 0; e < FW_ENGINES; e++) {
        struct fw_rl_server_entry entry = {
            .service = "llm", .slots = 8, .stage = w->stage[e], .born_ms = 1};

        g_snprintf(entry.id, sizeof(entry.id), "e%d", e);
        g_snprintf(entry.addr, sizeof(entry.addr), "10.1.0.%d:1", e);
        Fw_Relay_Server(s->relay, entry.id, &entry,
                        Fw_RelayFleet_Now(&w->f, i), &s->acts);
    }
    Fw_Relay_Fresh(s->relay, Fw_RelayFleet_Now(&w->f, i));
}

static void
ordered(struct order_world *w, int i, const struct fw_rl_up_call *c)
{
    int e = c->server[1] - '0';

    if (w->last_fence && c->fence < w->last_fence) {
        Fw_Run_Breach(w->f.run, "%s orders with token %d after %d",
                      w->f.sites[i].name, (int)c->fence, (int)w->last_fence);
    }
    if (w->last_fence && w->last_site != i &&
        w->f.now_us - w->last_us < 3 * FW_SEC && c->fence <= w->last_fence) {
        Fw_Run_Breach(w->f.run, "%s and %s share token %d", w->f.sites[i].name,
                      w->f.sites[w->last_site].name, (int)c->fence);
    }
    if (w->last_fence && w->last_site != i &&
        w->f.now_us - w->last_us < 2 * FW_SEC) {
        Fw_Run_Breach(w->f.run, "%s orders %d ms after %s", w->f.sites[i].name,
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
answer(struct order_world *w, int i, const struct fw_rl_up_call *c)
{
    struct fleet_site *s = &w->f.sites[i];
    int e = c->server[1] - '0';
    struct fw_rl_up_answer a = {
        .status = 200, .stage = w->stage[e], .orders = w->orders[e]};

    if (c->kind == FW_RL_UP_STAGE) {
        ordered(w, i, c);
        a.status = 202;
    }
    if (Fw_RelayFleet_Below(&w->f, 100) < 10) {
        Fw_Relay_Failed(s->relay, c->xid, -110, 1, Fw_RelayFleet_Now(&w->f, i),
                        &s->acts);
        return;
    }
    Fw_Relay_Answered(s->relay, c->xid, &a, Fw_RelayFleet_Now(&w->f, i),
                      &s->acts);
}

static void
claim(struct order_world *w, int i, uint64_t end)
{
    struct claim *c = g_new0(struct claim, 1);

    *c = (struct claim){.site = i,
                        .boot = w->f.sites[i].boot,
                        .end = end,
                        .sent_us = Fw_RelayFleet_Now(&w->f, i),
                        .at_us = w->f.now_us +
                                 Fw_RelayFleet_Below(&w->f, 900 * FW_MSEC)};
    g_ptr_array_add(w->claims, c);
}

/* Each claim reaches the log, then its answer the claimant, if at all. */
static void
move_claims(struct order_world *w)
{
    for (guint k = 0; k < w->claims->len;) {
        struct claim *c = g_ptr_array_index(w->claims, k);
        struct fleet_site *s = &w->f.sites[c->site];

        if (w->f.now_us < c->at_us ||
            (c->done && !Fw_RelayFleet_Runs(&w->f, c->site))) {
            k++;
            continue;
        }
        if (!c->done) {
            c->done = 1;
            c->result =
                c->end == w->log_end ? FW_RL_CLAIM_MADE : FW_RL_CLAIM_TAKEN;
            w->log_end += c->result == FW_RL_CLAIM_MADE;
            c->offset =
                c->result == FW_RL_CLAIM_MADE ? w->log_end - 1 : w->log_end;
            c->at_us += Fw_RelayFleet_Below(&w->f, 900 * FW_MSEC);
            if (Fw_RelayFleet_Below(&w->f, 100) < 15) {
                c->result = FW_RL_CLAIM_UNKNOWN;
            }
            k++;
            continue;
        }
        if (c->boot == s->boot) {
            Fw_Relay_Lead(s->relay, c->result, c->offset, c->sent_us,
                          Fw_RelayFleet_Now(&w->f, c->site));
        }
        g_ptr_array_remove_index(w->claims, k);
    }
}

static void
act(struct order_world *w, int i)
{
    struct fleet_site *s = &w->f.sites[i];

    if (!Fw_RelayFleet_Runs(&w->f, i)) {
        return;
    }
    Fw_Relay_Tick(s->relay, Fw_RelayFleet_Now(&w->f, i), &s->acts);
    for (guint k = 0; k < s->acts.all->len; k++) {
        struct fw_rl_act a = g_array_index(s->acts.all, struct fw_rl_act, k);

        if (a.kind == FW_RL_DO_LEAD) {
            claim(w, i, a.u.lead_end);
        }
        else if (a.kind == FW_RL_DO_ASK) {
            answer(w, i, &a.u.ask);
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
    s->engines = 1;
    s->engine = (struct fw_rl_engine_spec){
        .slots = 8, .kv_tokens = 100000, .switch_us = 100 * FW_MSEC};
    return r;
}

void
Fw_Explore_RelayOrders(struct fw_run *run)
{
    struct fw_rl_rules *rules = make_rules();
    struct order_world w = {.last_site = -1};

    Fw_RelayFleet_Init(&w.f, run, 3, rules);
    w.claims = g_ptr_array_new_with_free_func(g_free);
    for (int s = 0; s < run->steps && !run->breach[0]; s++) {
        int i = Fw_RelayFleet_Below(&w.f, w.f.n);
        int e = Fw_RelayFleet_Below(&w.f, FW_ENGINES);

        Fw_RelayFleet_Advance(&w.f, Fw_RelayFleet_Below(&w.f, 200) * FW_MSEC);
        if (Fw_RelayFleet_Below(&w.f, 8) == 0) {
            w.stage[e] = Fw_RelayFleet_Below(&w.f, 2) ? FW_RL_STAGE_PREFILL
                                                      : FW_RL_STAGE_DECODE;
        }
        if (Fw_RelayFleet_Below(&w.f, 25) == 0) {
            w.f.sites[i].frozen_until_us =
                w.f.now_us + Fw_RelayFleet_Below(&w.f, 7 * FW_SEC);
        }
        if (Fw_RelayFleet_Below(&w.f, 150) == 0) {
            Fw_RelayFleet_Restart(&w.f, i);
        }
        move_claims(&w);
        for (int k = 0; k < w.f.n; k++) {
            list_engines(&w, k);
            act(&w, k);
        }
    }
    g_ptr_array_unref(w.claims);
    Fw_RelayFleet_Clear(&w.f);
    Fw_Rules_Unref(rules);
}
