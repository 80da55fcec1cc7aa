/*
 * fleet-view-converges: five seconds after the last fault each instance knows
 * how many there are, counts all of them as in touch, and sees at a server
 * the sum of what all have there, whatever was cut, frozen or started anew
 * before, and whichever instances were hubs meanwhile.
 */
#include "explore/p_relay.h"
#include "explore/relay_fleet.h"

#define FW_LEAST 14
#define FW_MOST 40
#define FW_BETWEEN_MS 60
#define FW_SETTLE_US (5 * FW_SEC)
#define FW_SERVER "e0"

static void
list_server(struct fleet *f, int i)
{
    struct fleet_site *s = &f->sites[i];
    struct fw_rl_server_entry e = {
        .id = FW_SERVER, .service = "llm", .slots = 8, .born_ms = 1};

    Fw_Relay_Server(s->relay, e.id, &e, Fw_RelayFleet_Now(f, i), &s->acts);
    g_array_set_size(s->acts.all, 0);
}

/* Instance @i has another number of requests there. */
static void
place(struct fleet *f, int i)
{
    struct fw_relay *r = f->sites[i].relay;
    struct fw_rl_server *s = Fw_Servers_Find(r, FW_SERVER);

    s->running = Fw_RelayFleet_Below(f, 9);
    s->reserved = s->running * 1000;
    Fw_Delta_Placed(r, s);
}

static void
disturb(struct fleet *f)
{
    int i = Fw_RelayFleet_Below(f, f->n);

    switch (Fw_RelayFleet_Below(f, 30)) {
    case 0:
        f->sites[i].isolated = 1;
        Fw_Run_Trace(f->run, "%s cut off", f->sites[i].name);
        break;
    case 1:
        Fw_RelayFleet_Partition(f);
        Fw_Run_Trace(f->run, "a domain cut off");
        break;
    case 2:
        f->sites[i].frozen_until_us =
            f->now_us + Fw_RelayFleet_Below(f, 3 * FW_SEC);
        Fw_Run_Trace(f->run, "%s frozen", f->sites[i].name);
        break;
    case 3:
    case 4:
        Fw_RelayFleet_Restart(f, i);
        list_server(f, i);
        Fw_Run_Trace(f->run, "%s started anew", f->sites[i].name);
        break;
    case 5:
        Fw_RelayFleet_Heal(f);
        Fw_Run_Trace(f->run, "healed");
        break;
    default:
        break;
    }
}

static void
settle(struct fleet *f)
{
    Fw_RelayFleet_Heal(f);
    for (int i = 0; i < f->n; i++) {
        f->sites[i].frozen_until_us = 0;
    }
    f->loss_pct = 0;
    f->delay_pct = 0;
    /* The last message that is late is a fault as well. */
    Fw_RelayFleet_Advance(f, f->delay_max_us);
    Fw_RelayFleet_Advance(f, FW_SETTLE_US);
}

static void
check(struct fleet *f, int i, int running)
{
    struct fw_relay *r = f->sites[i].relay;
    int64_t now = Fw_RelayFleet_Now(f, i);
    struct fw_rl_load load;
    int in_touch;
    int count = Fw_Members_Count(r, now, &in_touch);

    if (count != f->n || in_touch != f->n) {
        Fw_Run_Breach(f->run, "%s counts %d and %d in touch of %d",
                      f->sites[i].name, count, in_touch, f->n);
    }
    Fw_Place_Load(r, Fw_Servers_Find(r, FW_SERVER), now, &load);
    if (load.running != running || load.reserved != running * 1000) {
        Fw_Run_Breach(f->run, "%s sees %d requests of %d", f->sites[i].name,
                      load.running, running);
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
        &f, run, FW_LEAST + g_rand_int_range(run->rand, 0, FW_MOST - FW_LEAST),
        rules);
    f.expires_members = 1;
    for (int i = 0; i < f.n; i++) {
        list_server(&f, i);
    }
    for (int s = 0; s < run->steps; s++) {
        Fw_RelayFleet_Advance(&f, Fw_RelayFleet_Below(&f, FW_BETWEEN_MS) *
                                      FW_MSEC);
        disturb(&f);
        place(&f, Fw_RelayFleet_Below(&f, f.n));
    }
    settle(&f);
    for (int i = 0; i < f.n; i++) {
        running += Fw_Servers_Find(f.sites[i].relay, FW_SERVER)->running;
    }
    for (int i = 0; i < f.n && !run->breach[0]; i++) {
        check(&f, i, running);
    }
    Fw_RelayFleet_Clear(&f);
    Fw_Rules_Unref(rules);
}
