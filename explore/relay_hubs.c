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
list_server(struct fleet *f, int i)
{
    struct fleet_site *s = &f->sites[i];
    struct fw_rl_server_entry e = {
        .id = FW_SERVER, .service = "llm", .slots = 8, .born_ms = 1};

    Fw_Relay_UpdateServer(s->relay, e.id, &e, Fw_RelayFleet_Now(f, i),
                          &s->acts);
    g_array_set_size(s->acts.all, 0);
}

/* Sets a random number of requests of instance @i on the server. */
static void
set_load(struct fleet *f, int i)
{
    struct fw_relay *r = f->sites[i].relay;
    struct fw_rl_server *s = Fw_Servers_Find(r, FW_SERVER);

    s->running = Fw_RelayFleet_RandBelow(f, 9);
    s->kv_tokens = s->running * 1000;
    Fw_Delta_NotePlacement(r, s);
}

static void
inject_fault(struct fleet *f)
{
    int i = Fw_RelayFleet_RandBelow(f, f->n);

    switch (Fw_RelayFleet_RandBelow(f, 30)) {
    case 0:
        f->sites[i].isolated = 1;
        Fw_Run_Trace(f->run, "%s isolated", f->sites[i].name);
        break;
    case 1:
        Fw_RelayFleet_Partition(f);
        Fw_Run_Trace(f->run, "a domain partitioned");
        break;
    case 2:
        f->sites[i].frozen_until_us =
            f->now_us + Fw_RelayFleet_RandBelow(f, 3 * FW_SEC);
        Fw_Run_Trace(f->run, "%s frozen", f->sites[i].name);
        break;
    case 3:
    case 4:
        Fw_RelayFleet_Restart(f, i);
        list_server(f, i);
        Fw_Run_Trace(f->run, "%s restarted", f->sites[i].name);
        break;
    case 5:
        Fw_RelayFleet_Heal(f);
        Fw_Run_Trace(f->run, "partitions and isolation ended");
        break;
    default:
        break;
    }
}

static void
end_faults(struct fleet *f)
{
    Fw_RelayFleet_Heal(f);
    for (int i = 0; i < f->n; i++) {
        f->sites[i].frozen_until_us = 0;
    }
    f->loss_pct = 0;
    f->delay_pct = 0;
    /* Delayed messages count as faults until the last one has arrived. */
    Fw_RelayFleet_Advance(f, f->delay_max_us);
    Fw_RelayFleet_Advance(f, FW_SETTLE_US);
}

static void
check_view(struct fleet *f, int i, int running)
{
    struct fw_relay *r = f->sites[i].relay;
    int64_t now = Fw_RelayFleet_Now(f, i);
    struct fw_rl_load load;
    int in_touch;
    int count = Fw_Members_Count(r, now, &in_touch);

    if (count != f->n || in_touch != f->n) {
        Fw_Run_Fail(f->run, "%s counts %d instances, %d live, of %d",
                    f->sites[i].name, count, in_touch, f->n);
    }
    Fw_Place_Load(r, Fw_Servers_Find(r, FW_SERVER), now, &load);
    if (load.running != running || load.kv_tokens != running * 1000) {
        Fw_Run_Fail(f->run, "%s computes a load of %d requests, expected %d",
                    f->sites[i].name, load.running, running);
    }
}

void
Fw_Explore_RelayHubs(struct fw_run *run)
{
    struct fw_rl_rules *rules = Fw_Rules_New();
    struct fleet f;
    int running = 0;

    rules->version = 1;
    Fw_RelayFleet_Init(
        &f, run,
        FW_INSTANCES_MIN +
            g_rand_int_range(run->rand, 0,
                             FW_INSTANCES_MAX - FW_INSTANCES_MIN),
        rules);
    f.expires_members = 1;
    for (int i = 0; i < f.n; i++) {
        list_server(&f, i);
    }
    for (int s = 0; s < run->steps; s++) {
        Fw_RelayFleet_Advance(&f, Fw_RelayFleet_RandBelow(&f, FW_STEP_MAX_MS) *
                                      FW_MSEC);
        inject_fault(&f);
        set_load(&f, Fw_RelayFleet_RandBelow(&f, f.n));
    }
    end_faults(&f);
    for (int i = 0; i < f.n; i++) {
        running += Fw_Servers_Find(f.sites[i].relay, FW_SERVER)->running;
    }
    for (int i = 0; i < f.n && !run->failure[0]; i++) {
        check_view(&f, i, running);
    }
    Fw_RelayFleet_Clear(&f);
    Fw_Rules_Unref(rules);
}
