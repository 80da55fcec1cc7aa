/*
 * What the relay's requests add to the demand for their services, and the
 * services whose demand instances exchange.
 */
#include <string.h>

#include "base/hash.h"
#include "relay/relay_internal.h"

void
Fw_ServiceDemand_Init(struct fw_relay *r)
{
    r->service_demand.demand = Fw_Demand_New();
    r->service_demand.shared = g_array_new(FALSE, FALSE, sizeof(uint64_t));
    r->service_demand.ranked = Fw_Rows_NewTable();
    Fw_ServiceDemand_ApplyOpts(r);
}

void
Fw_ServiceDemand_Clear(struct fw_relay *r)
{
    Fw_Demand_Free(r->service_demand.demand);
    g_array_unref(r->service_demand.shared);
    g_hash_table_destroy(r->service_demand.ranked);
}

/** struct team_ranks - @ranks: bits of the ranks that teams name. */
struct team_ranks {
    unsigned ranks;
    int any_without;
};

static unsigned
rank_bit(int rank)
{
    return 1U << CLAMP(rank, 0, FW_RANKS - 1);
}

static struct team_ranks
ranks_of_teams(const struct fw_rl_rules *rules)
{
    struct team_ranks t = {.any_without = !rules->teams->len};

    for (guint i = 0; i < rules->teams->len; i++) {
        const struct fw_rl_team_rule *team =
            g_ptr_array_index(rules->teams, i);

        if (team->priority >= 0) {
            t.ranks |= rank_bit(team->priority);
        }
        else {
            t.any_without = 1;
        }
    }
    return t;
}

int
Fw_ServiceDemand_IsTarget(const struct fw_rl_route_rule *route,
                          const char *service)
{
    for (int i = 0; i < route->n_targets; i++) {
        if (strcmp(route->targets[i].service, service) == 0) {
            return 1;
        }
    }
    return 0;
}

/* Bits of the ranks that generation requests for @service may have. */
static unsigned
ranks_of_service(const struct fw_rl_rules *rules, const char *service,
                 const struct team_ranks *teams)
{
    unsigned ranks = 0;

    for (guint i = 0; i < rules->routes->len; i++) {
        const struct fw_rl_route_rule *route =
            g_ptr_array_index(rules->routes, i);

        if (!route->generates || !Fw_ServiceDemand_IsTarget(route, service)) {
            continue;
        }
        if (route->anonymous || teams->any_without) {
            ranks |= rank_bit(route->priority);
        }
        if (!route->anonymous) {
            ranks |= teams->ranks;
        }
    }
    return ranks;
}

static int
is_several(unsigned bits)
{
    return (bits & (bits - 1)) != 0;
}

/* Whether precedence by rank is in force for @service. */
static int
has_precedence(const struct fw_relay *r, const char *service, unsigned ranks)
{
    static const struct team_ranks no_teams = {.any_without = 1};

    switch (r->opts.precedence) {
    case FW_RL_PRECEDENCE_ON:
        return is_several(ranks);
    case FW_RL_PRECEDENCE_ROUTES:
        return is_several(ranks) &&
               is_several(ranks_of_service(r->rules, service, &no_teams));
    case FW_RL_PRECEDENCE_OFF:
        break;
    }
    return 0;
}

void
Fw_ServiceDemand_ApplyRules(struct fw_relay *r)
{
    struct team_ranks teams = ranks_of_teams(r->rules);

    g_array_set_size(r->service_demand.shared, 0);
    g_hash_table_remove_all(r->service_demand.ranked);
    for (guint i = 0; i < r->rules->services->len; i++) {
        const struct fw_rl_service_rule *s =
            g_ptr_array_index(r->rules->services, i);
        uint64_t hash = Fw_Hash_Str(s->name);
        unsigned ranks = ranks_of_service(r->rules, s->name, &teams);
        int is_ranked = s->has_engines && has_precedence(r, s->name, ranks);

        if (is_ranked) {
            *Fw_Rows_LookupOrAdd(r->service_demand.ranked, hash, 0) = ranks;
        }
        if (is_ranked || (r->opts.admission_forecast && !s->has_engines)) {
            g_array_append_val(r->service_demand.shared, hash);
        }
    }
}

void
Fw_ServiceDemand_ApplyOpts(struct fw_relay *r)
{
    Fw_Demand_SetMaxAge(r->service_demand.demand, Fw_Members_TimeoutUs(r));
    if (r->rules) {
        Fw_ServiceDemand_ApplyRules(r);
    }
}

int
Fw_ServiceDemand_IsShared(const struct fw_relay *r, uint64_t service)
{
    for (guint i = 0; i < r->service_demand.shared->len; i++) {
        if (g_array_index(r->service_demand.shared, uint64_t, i) == service) {
            return 1;
        }
    }
    return 0;
}

unsigned
Fw_ServiceDemand_Ranks(const struct fw_relay *r, uint64_t service)
{
    return (unsigned)Fw_Rows_Lookup(r->service_demand.ranked, service);
}

void
Fw_ServiceDemand_NotePlain(struct fw_relay *r, const struct fw_rl_call *c,
                           int64_t now_us)
{
    Fw_Demand_NoteAsked(r->service_demand.demand, Fw_Hash_Str(c->service),
                        c->priority, 0, now_us);
}

void
Fw_ServiceDemand_NoteStream(struct fw_relay *r, struct fw_rl_call *c,
                            int64_t now_us)
{
    c->service_hash = Fw_Hash_Str(c->service);
    Fw_Demand_NoteAsked(r->service_demand.demand, c->service_hash, c->priority,
                        c->kv_tokens, now_us);
}

static void
add_late(struct fw_relay *r, const struct fw_rl_call *c, int sign)
{
    Fw_Demand_AddLate(r->service_demand.demand, c->service_hash, c->priority,
                      sign, sign * c->waiting_tokens);
}

static void
add_waiting(struct fw_relay *r, const struct fw_rl_call *c, int sign)
{
    Fw_Demand_AddWaiting(r->service_demand.demand, c->service_hash,
                         c->priority, sign, sign * c->waiting_tokens);
    if (c->is_late) {
        add_late(r, c, sign);
    }
}

void
Fw_ServiceDemand_SetWaiting(struct fw_relay *r, struct fw_rl_call *c,
                            int is_waiting)
{
    if (c->is_waiting == is_waiting) {
        return;
    }
    c->is_waiting = is_waiting;
    if (is_waiting) {
        c->waiting_tokens = c->kv_tokens;
        add_waiting(r, c, 1);
        return;
    }
    add_waiting(r, c, -1);
    Fw_Ranks_EndHeld(r, c);
}

void
Fw_ServiceDemand_SetLate(struct fw_relay *r, struct fw_rl_call *c)
{
    c->is_late = 1;
    if (c->is_waiting) {
        add_late(r, c, 1);
    }
}
