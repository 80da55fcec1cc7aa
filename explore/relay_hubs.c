/*
 * fleet-view-converges: five seconds after the last isolation, freeze, restart
 * or delayed message, each instance knows the size of the fleet, counts all
 * instances as live, and computes a server's load as the sum over all of them.
 */
#include "explore/p_relay.h"
#include "explore/relay_fleet.h"

#define FW_INSTANCES_MIN 14
#define FW_INSTANCES_MAX 40
#define FW_STEP_MAX_MS 60
#define FW_SETTLE_US (5 * FW_SEC)
#define FW_SERVER "e0"

static void
list_server(struct fleet *fleet, int i)
{
    struct fleet_instance *inst = &fleet->instances[i];
    struct fw_rl_server_entry e = {
        .id = FW_SERVER, .service = "llm", .slots = 8, .born_ms = 1};

    Fw_Relay_UpdateServer(inst->relay, e.id, &e, Fw_RelayFleet_Now(fleet, i),
                          &inst->acts);
    g_array_set_size(inst->acts.all, 0);
}

/* Sets a random number of requests of instance @i on the server. */
static void
set_load(struct fleet *fleet, int i)
{
    struct fw_relay *r = fleet->instances[i].relay;
    struct fw_rl_server *s = Fw_Servers_Find(r, FW_SERVER);

    s->running = Fw_RelayFleet_RandBelow(fleet, 9);
    s->kv_tokens = s->running * 1000;
    Fw_Servers_Activate(r, s);
    Fw_Delta_NotePlacement(r, s);
}

static void
inject_fault(struct fleet *fleet)
{
    int i = Fw_RelayFleet_RandBelow(fleet, fleet->n);

    switch (Fw_RelayFleet_RandBelow(fleet, 30)) {
    case 0:
        fleet->instances[i].isolated = 1;
        Fw_Run_Trace(fleet->run, "%s isolated", fleet->instances[i].name);
        break;
    case 1:
        Fw_RelayFleet_Partition(fleet);
        Fw_Run_Trace(fleet->run, "a domain partitioned");
        break;
    case 2:
        fleet->instances[i].frozen_until_us =
            fleet->now_us + Fw_RelayFleet_RandBelow(fleet, 3 * FW_SEC);
        Fw_Run_Trace(fleet->run, "%s frozen", fleet->instances[i].name);
        break;
    case 3:
    case 4:
        Fw_RelayFleet_Restart(fleet, i);
        list_server(fleet, i);
        Fw_Run_Trace(fleet->run, "%s restarted", fleet->instances[i].name);
        break;
    case 5:
        Fw_RelayFleet_Heal(fleet);
        Fw_Run_Trace(fleet->run, "partitions and isolation ended");
        break;
    default:
        break;
    }
}

static void
end_faults(struct fleet *fleet)
{
    Fw_RelayFleet_Heal(fleet);
    for (int i = 0; i < fleet->n; i++) {
        fleet->instances[i].frozen_until_us = 0;
    }
    fleet->loss_pct = 0;
    fleet->delay_pct = 0;
    /* Delayed messages count as faults until the last one has arrived. */
    Fw_RelayFleet_Advance(fleet, fleet->delay_max_us);
    Fw_RelayFleet_Advance(fleet, FW_SETTLE_US);
}

static void
check_view(struct fleet *fleet, int i, int running)
{
    struct fw_relay *r = fleet->instances[i].relay;
    int64_t now = Fw_RelayFleet_Now(fleet, i);
    struct fw_rl_load load;
    int n_live;
    int n_known = Fw_Members_Count(r, now, &n_live);

    if (n_known != fleet->n || n_live != fleet->n) {
        Fw_Run_Fail(fleet->run, "%s counts %d instances, %d live, of %d",
                    fleet->instances[i].name, n_known, n_live, fleet->n);
    }
    Fw_Place_Load(r, Fw_Servers_Find(r, FW_SERVER), now, &load);
    if (load.running != running || load.kv_tokens != running * 1000) {
        Fw_Run_Fail(fleet->run,
                    "%s computes a load of %d requests, expected %d",
                    fleet->instances[i].name, load.running, running);
    }
}

void
Fw_Explore_RelayHubs(struct fw_run *run)
{
    struct fw_rl_rules *rules = Fw_Rules_New();
    struct fleet fleet;
    int running = 0;

    rules->version = 1;
    Fw_RelayFleet_Init(
        &fleet, run,
        FW_INSTANCES_MIN +
            g_rand_int_range(run->rand, 0,
                             FW_INSTANCES_MAX - FW_INSTANCES_MIN),
        rules);
    fleet.expires_members = 1;
    for (int i = 0; i < fleet.n; i++) {
        list_server(&fleet, i);
    }
    for (int s = 0; s < run->steps; s++) {
        Fw_RelayFleet_Advance(
            &fleet, Fw_RelayFleet_RandBelow(&fleet, FW_STEP_MAX_MS) * FW_MSEC);
        inject_fault(&fleet);
        set_load(&fleet, Fw_RelayFleet_RandBelow(&fleet, fleet.n));
    }
    end_faults(&fleet);
    for (int i = 0; i < fleet.n; i++) {
        running +=
            Fw_Servers_Find(fleet.instances[i].relay, FW_SERVER)->running;
    }
    for (int i = 0; i < fleet.n && !run->failure[0]; i++) {
        check_view(&fleet, i, running);
    }
    Fw_RelayFleet_Clear(&fleet);
    Fw_Rules_Unref(rules);
}
