/* Services of simulated fleets that serve both kinds of requests. */
#include "explore/relay_fleet.h"

#include <string.h>

static void
add_route(struct fw_rl_rules *rules, const char *prefix, const char *service,
          enum fw_rl_route_kind kind, int resumable)
{
    struct fw_rl_route_rule *r = Fw_Rules_AddRoute(rules);

    r->name = prefix;
    r->host = "h";
    r->prefix = prefix;
    r->kind = kind;
    r->timeout_us = 4 * FW_SEC;
    r->objective_us = 900 * FW_MSEC;
    r->attempts = 3;
    r->anonymous = 1;
    r->resumable = resumable;
    r->generates = kind == FW_RL_STREAM;
    Fw_Rules_SetTarget(rules, r, service);
}

struct fw_rl_rules *
Fw_RelayFleet_NewRules(int resumable)
{
    struct fw_rl_rules *rules = Fw_Rules_New();
    struct fw_rl_service_rule *s;

    rules->version = 1;
    add_route(rules, "/read/", "plain", FW_RL_IDEMPOTENT, 0);
    add_route(rules, "/order/", "plain", FW_RL_NON_IDEMPOTENT, 0);
    add_route(rules, "/gen/", "llm", FW_RL_STREAM, resumable);
    Fw_Rules_AddService(rules)->name = "plain";
    s = Fw_Rules_AddService(rules);
    s->name = "llm";
    s->has_engines = 1;
    s->engine = (struct fw_rl_engine_spec){.slots = 1000,
                                           .kv_tokens = 10 * 1000 * 1000,
                                           .reservation_ttl_us = 2 * FW_SEC};
    Fw_Rules_Index(rules);
    return rules;
}

int
Fw_RelayFleet_DrawSize(struct fw_run *run)
{
    int n = g_rand_int_range(run->rand, 0, 256);

    if (n == 0) {
        return FW_FLEET_MAX;
    }
    return n < 16 ? g_rand_int_range(run->rand, 13, 60)
                  : g_rand_int_range(run->rand, 3, 13);
}
