/*
 * shared-allowance: in any window all instances together grant a team no more
 * than its rate and burst allow, plus the operator's overage and tolerance,
 * while messages are lost or delayed, instances restart, and up to two at a
 * time are isolated or frozen. Until it is detected, each of these faults can
 * cost 0.6 s of the rate beyond the limit, so they are kept four seconds
 * apart.
 */
#include "explore/p_relay.h"
#include "explore/relay_fleet.h"

#define FW_RATE_TOKENS_PER_S 50000
#define FW_BURST_TOKENS 50000
#define FW_LARGE_COST_TOKENS 12000
/* Percentage of requests that have the small cost. */
#define FW_SMALL_PCT 30
#define FW_SMALL_COST_TOKENS 1000
#define FW_FAULTY_MAX 2
#define FW_FAULT_INTERVAL_US (4 * FW_SEC)
#define FW_STEP_MAX_MS 80
#define FW_WINDOW_US (8 * FW_SEC)
#define FW_TOLERANCE_TOKENS 72000
#define FW_OVERAGE_FACTOR 1.1

/** struct grant - tokens granted to a request at @at_us. */
struct grant {
    int64_t at_us;
    int64_t tokens;
};

static struct fw_rl_rules *
make_rules(void)
{
    struct fw_rl_rules *r = Fw_Rules_New();
    struct fw_rl_team_rule *t = Fw_Rules_AddTeam(r);

    r->version = 1;
    t->name = "t";
    t->rate = FW_RATE_TOKENS_PER_S;
    t->burst = FW_BURST_TOKENS;
    t->priority = -1;
    return r;
}

static void
check_window(struct fw_run *run, const GArray *grants)
{
    const struct grant *last =
        &g_array_index(grants, struct grant, grants->len - 1);
    double limit = (FW_RATE_TOKENS_PER_S * (double)FW_WINDOW_US / FW_SEC +
                    FW_BURST_TOKENS) *
                       FW_OVERAGE_FACTOR +
                   FW_TOLERANCE_TOKENS;
    int64_t sum = 0;

    for (guint i = grants->len; i > 0; i--) {
        const struct grant *g = &g_array_index(grants, struct grant, i - 1);

        if (last->at_us - g->at_us > FW_WINDOW_US) {
            break;
        }
        sum += g->tokens;
    }
    if ((double)sum > limit) {
        Fw_Run_Fail(run,
                    "%" G_GINT64_FORMAT " tokens in a window, %.0f "
                    "allowed",
                    sum, limit);
    }
}

static int
count_faulty(const struct fleet *fleet)
{
    int n = 0;

    for (int i = 0; i < fleet->n; i++) {
        n +=
            fleet->instances[i].isolated || !Fw_RelayFleet_IsRunning(fleet, i);
    }
    return n;
}

static void
inject_fault(struct fleet *fleet, int64_t *last_us)
{
    int i = Fw_RelayFleet_RandBelow(fleet, fleet->n);
    int event = Fw_RelayFleet_RandBelow(fleet, 100);

    if (event != 1 && (count_faulty(fleet) >= FW_FAULTY_MAX ||
                       fleet->now_us - *last_us < FW_FAULT_INTERVAL_US)) {
        return;
    }
    if (event == 0 || event == 3 || event == 4) {
        *last_us = fleet->now_us;
    }
    switch (event) {
    case 0:
        fleet->instances[i].isolated = 1;
        Fw_Run_Trace(fleet->run, "%s isolated", fleet->instances[i].name);
        break;
    case 1:
        for (int k = 0; k < fleet->n; k++) {
            fleet->instances[k].isolated = 0;
        }
        break;
    case 3:
        fleet->instances[i].frozen_until_us =
            fleet->now_us + Fw_RelayFleet_RandBelow(fleet, 6 * FW_SEC);
        Fw_Run_Trace(fleet->run, "%s frozen", fleet->instances[i].name);
        break;
    case 4:
        Fw_RelayFleet_Restart(fleet, i);
        Fw_Run_Trace(fleet->run, "%s restarted", fleet->instances[i].name);
        break;
    default:
        break;
    }
}

static void
explore(struct fw_run *run, int n_min, int n_extra, int expires_members)
{
    struct fw_rl_rules *rules = make_rules();
    GArray *grants = g_array_new(FALSE, FALSE, sizeof(struct grant));
    const struct fw_rl_team_rule *t = g_ptr_array_index(rules->teams, 0);
    struct fleet fleet;
    int64_t last_us = 0;

    Fw_RelayFleet_Init(&fleet, run,
                       n_min + g_rand_int_range(run->rand, 0, n_extra), rules);
    fleet.expires_members = expires_members;
    Fw_RelayFleet_Advance(&fleet, 10 * FW_SEC);
    for (int s = 0; s < run->steps && !run->failure[0]; s++) {
        int i = Fw_RelayFleet_RandBelow(&fleet, fleet.n);
        int64_t cost = Fw_RelayFleet_RandBelow(&fleet, 100) < FW_SMALL_PCT
                           ? FW_SMALL_COST_TOKENS
                           : FW_LARGE_COST_TOKENS;
        int64_t retry_us;

        Fw_RelayFleet_Advance(
            &fleet, Fw_RelayFleet_RandBelow(&fleet, FW_STEP_MAX_MS) * FW_MSEC);
        inject_fault(&fleet, &last_us);
        if (!Fw_RelayFleet_IsRunning(&fleet, i) ||
            !Fw_Allowance_Take(fleet.instances[i].relay, t, cost,
                               Fw_RelayFleet_Now(&fleet, i), &retry_us)) {
            continue;
        }
        Fw_RelayFleet_Send(&fleet, i);
        g_array_append_vals(
            grants, &(struct grant){.at_us = fleet.now_us, .tokens = cost}, 1);
        check_window(run, grants);
    }
    Fw_Run_Trace(run, "%u grants", grants->len);
    g_array_unref(grants);
    Fw_RelayFleet_Clear(&fleet);
    Fw_Rules_Unref(rules);
}

void
Fw_Explore_RelayAllowance(struct fw_run *run)
{
    explore(run, 3, 7, 0);
}

/* Isolation may last until members have expired. */
void
Fw_Explore_RelayAllowanceLapse(struct fw_run *run)
{
    explore(run, 3, 7, 1);
}

/* A fleet in which most instances are leaves. */
void
Fw_Explore_RelayAllowanceHubs(struct fw_run *run)
{
    explore(run, 14, 26, 0);
}
