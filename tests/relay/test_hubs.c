/* Hubs and leaves: what reaches whom, at what cost, and who takes over. */
#include <check.h>
#include <string.h>

#include "explore/relay_fleet.h"
#include "tests/base/suite.h"

#define FW_LARGE 120
#define FW_DOMAINS 3
#define FW_SERVER "e0"
#define FW_COST 6000

/** struct rig - a fleet without chance, and its team. */
struct rig {
    struct fw_run run;
    struct fleet f;
    struct fw_rl_rules *rules;
    const struct fw_rl_team_rule *team;
};

static void
rig_init(struct rig *g, int n)
{
    struct fw_rl_team_rule *t;

    *g = (struct rig){.run = {.rand = g_rand_new_with_seed(1)}};
    g->rules = Fw_Rules_New();
    g->rules->version = 1;
    t = Fw_Rules_AddTeam(g->rules);
    g_strlcpy(t->name, "t", sizeof(t->name));
    t->rate = 10000;
    t->burst = 100000;
    t->priority = -1;
    g->team = t;
    Fw_RelayFleet_Init(&g->f, &g->run, n, g->rules);
    g->f.loss_pct = 0;
    g->f.delay_pct = 0;
    g->f.expires_members = 1;
    for (int i = 0; i < n; i++) {
        struct fw_rl_server_entry e = {
            .id = FW_SERVER, .service = "llm", .slots = 8, .born_ms = 1};

        Fw_Relay_Server(g->f.sites[i].relay, e.id, &e,
                        Fw_RelayFleet_Now(&g->f, i), &g->f.sites[i].acts);
    }
    Fw_RelayFleet_Advance(&g->f, 3 * FW_SEC);
}

static void
rig_clear(struct rig *g)
{
    Fw_RelayFleet_Clear(&g->f);
    Fw_Rules_Unref(g->rules);
    g_rand_free(g->run.rand);
}

static struct fw_relay *
at(struct rig *g, int i)
{
    return g->f.sites[i].relay;
}

/* The first leaf, or the first hub, from @from on. */
static int
find(struct rig *g, int is_hub, int from)
{
    for (int i = from; i < g->f.n; i++) {
        if (at(g, i)->x.is_hub == is_hub) {
            return i;
        }
    }
    ck_abort_msg("no such instance");
    return -1;
}

static int
in_touch(struct rig *g, int i)
{
    int n;

    Fw_Members_Count(at(g, i), Fw_RelayFleet_Now(&g->f, i), &n);
    return n;
}

static void
start_counting(struct rig *g)
{
    g->f.n_cross_domain = 0;
    for (int i = 0; i < g->f.n; i++) {
        g->f.sites[i].n_received = 0;
    }
}

/* Guards against messages that grow with the square of the fleet. */
START_TEST(an_instance_of_a_large_fleet_gets_few_messages)
{
    struct rig g;
    int hubs = 0;
    int all = 0;

    rig_init(&g, FW_LARGE);
    start_counting(&g);
    for (int s = 0; s < 3; s++) {
        for (int i = 0; i < FW_LARGE; i++) {
            Fw_Relay_Fresh(at(&g, i), Fw_RelayFleet_Now(&g.f, i));
        }
        Fw_RelayFleet_Advance(&g.f, FW_SEC);
    }
    for (int i = 0; i < FW_LARGE; i++) {
        int got = g.f.sites[i].n_received;

        hubs += at(&g, i)->x.is_hub;
        all += got;
        /* A reply each period, and a list of hubs each second. */
        ck_assert(at(&g, i)->x.is_hub || got <= 3 * 9);
        ck_assert_int_eq(in_touch(&g, i), FW_LARGE);
    }
    ck_assert_int_ge(hubs, 2 * FW_DOMAINS);
    ck_assert_int_le(hubs, 12);
    /* Two messages a leaf and period, and the hubs' own: no more than 20 a
     * second for each instance, where all to all would be 800. */
    ck_assert_int_le(all, 3 * 20 * FW_LARGE);
    /* Only hubs send to other domains. */
    ck_assert_int_le(g.f.n_cross_domain, 3 * 10 * hubs * hubs);
    rig_clear(&g);
}
END_TEST

/* Guards against a fleet of nine that has instances without a say. */
START_TEST(all_of_a_small_fleet_are_hubs)
{
    struct rig g;

    rig_init(&g, 9);
    for (int i = 0; i < 9; i++) {
        ck_assert(at(&g, i)->x.is_hub);
        ck_assert_int_eq(in_touch(&g, i), 9);
    }
    rig_clear(&g);
}
END_TEST

/* Guards against a leaf that spends what leaves elsewhere have spent. */
START_TEST(what_one_leaf_spends_all_others_know)
{
    struct rig g;
    int64_t level;
    int64_t retry_us;
    int part;
    int leaf;

    rig_init(&g, 40);
    leaf = find(&g, 0, 0);
    Fw_RelayFleet_Advance(&g.f, 10 * FW_SEC);
    for (int k = 0; k < 15; k++) {
        ck_assert(Fw_Allowance_Take(at(&g, leaf), g.team, FW_COST,
                                    Fw_RelayFleet_Now(&g.f, leaf), &retry_us));
    }
    Fw_RelayFleet_Advance(&g.f, 400 * FW_MSEC);
    for (int i = 0; i < 40; i++) {
        Fw_Allowance_Explain(at(&g, i), "t", &level, &part);
        ck_assert_int_eq(part, 1000);
        ck_assert_int_le(level, 100000 + 14400 + 5000 - 15 * FW_COST);
    }
    rig_clear(&g);
}
END_TEST

/* Guards against spending that goes uncounted, or twice, with a lost hub. */
START_TEST(a_leaf_that_changes_its_hub_is_counted_once)
{
    struct rig g;
    int64_t before;
    int64_t after;
    int64_t retry_us;
    int part;
    int leaf;
    int hub;
    int other;

    rig_init(&g, 40);
    leaf = find(&g, 0, 0);
    Fw_RelayFleet_Advance(&g.f, 10 * FW_SEC);
    hub = 0;
    while (strcmp(g.f.sites[hub].name, at(&g, leaf)->x.hub->name) != 0) {
        hub++;
    }
    ck_assert(Fw_Allowance_Take(at(&g, leaf), g.team, 10 * FW_COST,
                                Fw_RelayFleet_Now(&g.f, leaf), &retry_us));
    Fw_RelayFleet_Advance(&g.f, 400 * FW_MSEC);
    other = find(&g, 1, hub == find(&g, 1, 0) ? hub + 1 : 0);
    Fw_Allowance_Explain(at(&g, other), "t", &before, &part);
    g.f.sites[hub].isolated = 1;
    ck_assert(Fw_Allowance_Take(at(&g, leaf), g.team, FW_COST,
                                Fw_RelayFleet_Now(&g.f, leaf), &retry_us));
    Fw_RelayFleet_Advance(&g.f, 1500 * FW_MSEC);
    Fw_Allowance_Explain(at(&g, other), "t", &after, &part);
    ck_assert_str_ne(at(&g, leaf)->x.hub->name, g.f.sites[hub].name);
    /* Refilled for up to two seconds, and the one request taken off. */
    ck_assert_int_le(after, before - FW_COST + 2 * 10500);
    ck_assert_int_ge(after, before - FW_COST);
    rig_clear(&g);
}
END_TEST

/* Guards against leaves that nobody answers once their hub has died. */
START_TEST(leaves_of_a_dead_hub_find_another)
{
    struct rig g;
    int hub;

    rig_init(&g, 60);
    hub = find(&g, 1, 0);
    g.f.sites[hub].isolated = 1;
    Fw_RelayFleet_Advance(&g.f, 2 * FW_SEC);
    for (int i = 0; i < 60; i++) {
        if (i != hub) {
            ck_assert_int_eq(in_touch(&g, i), 59);
        }
    }
    g.f.sites[hub].isolated = 0;
    Fw_RelayFleet_Advance(&g.f, 3 * FW_SEC);
    for (int i = 0; i < 60; i++) {
        ck_assert_int_eq(in_touch(&g, i), 60);
    }
    rig_clear(&g);
}
END_TEST

/* Guards against leaves that wait 0.6 s for a hub that has stopped. */
START_TEST(a_hub_that_stops_sends_its_leaves_away)
{
    struct rig g;
    int hub;

    rig_init(&g, 60);
    hub = find(&g, 1, 0);
    Fw_Relay_Drain(at(&g, hub), Fw_RelayFleet_Now(&g.f, hub),
                   &g.f.sites[hub].acts);
    Fw_RelayFleet_Advance(&g.f, 300 * FW_MSEC);
    for (int i = 0; i < 60; i++) {
        struct fw_rl_member *of = at(&g, i)->x.hub;

        ck_assert(!of || strcmp(of->name, g.f.sites[hub].name) != 0);
    }
    Fw_RelayFleet_Advance(&g.f, FW_SEC);
    for (int i = 0; i < 60; i++) {
        ck_assert_int_eq(in_touch(&g, i), 60);
    }
    rig_clear(&g);
}
END_TEST

static int
places(struct rig *g, int i, int64_t since_us)
{
    return !Fw_Exchange_Awaits(at(g, i), since_us,
                               Fw_RelayFleet_Now(&g->f, i));
}

/* Guards against streams that leaves send to one engine by an old picture. */
START_TEST(a_leaf_places_by_a_fresh_picture)
{
    struct rig g;
    struct fw_rl_load load;
    int leaf;
    int other;
    int64_t since;

    rig_init(&g, 40);
    leaf = find(&g, 0, 0);
    other = find(&g, 0, leaf + 1);
    Fw_RelayFleet_Advance(&g.f, 100 * FW_MSEC);
    while (places(&g, leaf, Fw_RelayFleet_Now(&g.f, leaf))) {
        Fw_RelayFleet_Advance(&g.f, 20 * FW_MSEC);
    }
    Fw_Servers_Find(at(&g, other), FW_SERVER)->running = 5;
    Fw_Delta_Placed(at(&g, other), Fw_Servers_Find(at(&g, other), FW_SERVER));
    Fw_RelayFleet_Send(&g.f, other);
    Fw_RelayFleet_Advance(&g.f, 80 * FW_MSEC);
    since = Fw_RelayFleet_Now(&g.f, leaf);
    places(&g, leaf, since);
    Fw_RelayFleet_Send(&g.f, leaf);
    Fw_RelayFleet_Advance(&g.f, 5 * FW_MSEC);
    Fw_RelayFleet_Advance(&g.f, 5 * FW_MSEC);
    ck_assert(places(&g, leaf, since));
    Fw_Place_Load(at(&g, leaf), Fw_Servers_Find(at(&g, leaf), FW_SERVER),
                  Fw_RelayFleet_Now(&g.f, leaf), &load);
    ck_assert_int_eq(load.running, 5);
    rig_clear(&g);
}
END_TEST

/* Guards against requests that wait for a hub that doesn't answer. */
START_TEST(a_placement_waits_for_a_silent_hub_only_shortly)
{
    struct rig g;
    int leaf;
    int64_t since;

    rig_init(&g, 40);
    leaf = find(&g, 0, 0);
    g.f.sites[leaf].isolated = 1;
    Fw_RelayFleet_Advance(&g.f, 100 * FW_MSEC);
    since = Fw_RelayFleet_Now(&g.f, leaf);
    ck_assert(!places(&g, leaf, since));
    Fw_RelayFleet_Advance(&g.f, 20 * FW_MSEC);
    ck_assert(places(&g, leaf, since));
    rig_clear(&g);
}
END_TEST

/* Guards against a domain that stays alone after its power is back. */
START_TEST(a_domain_that_lost_power_is_met_again)
{
    struct rig g;

    rig_init(&g, 45);
    Fw_RelayFleet_Partition(&g.f);
    Fw_RelayFleet_Advance(&g.f, 5 * FW_SEC);
    for (int i = 0; i < 45; i++) {
        ck_assert_int_eq(in_touch(&g, i), g.f.sites[i].partition ? 15 : 30);
        if (g.f.sites[i].partition) {
            Fw_RelayFleet_Restart(&g.f, i);
        }
    }
    Fw_RelayFleet_Heal(&g.f);
    Fw_RelayFleet_Advance(&g.f, 2 * FW_SEC);
    for (int i = 0; i < 45; i++) {
        ck_assert_int_eq(in_touch(&g, i), 45);
    }
    rig_clear(&g);
}
END_TEST

/* Guards against small machines that serve others while large ones don't. */
START_TEST(large_instances_are_hubs_first)
{
    struct fw_relay_opts o = {
        .name = "n00", .domain = "d", .cpu_ppm = 120000, .retry_window_us = 1};
    struct fw_relay *r = Fw_Relay_New(&o, FW_SEC);

    for (int i = 1; i < 40; i++) {
        struct fw_rl_peer p = {.domain = "d",
                               .cpu_ppm = i % 3 ? 120000 : 500000};

        g_snprintf(p.name, sizeof(p.name), "n%02d", i);
        g_snprintf(p.addr, sizeof(p.addr), "10.0.0.%d:1", i);
        Fw_Relay_AddMember(r, &p, FW_SEC);
    }
    Fw_Hubs_UpdateRoles(r, FW_SEC);
    ck_assert(!r->x.is_hub);
    for (int i = 1; i < 40; i++) {
        char name[FW_NAME_MAX];
        struct fw_rl_member *m;

        g_snprintf(name, sizeof(name), "n%02d", i);
        m = Fw_Members_Find(r, name);
        ck_assert(!m->is_ranked_hub || m->cpu_ppm == 500000);
    }
    ck_assert_int_eq(Fw_Hubs_ChooseHub(r)->cpu_ppm, 500000);
    Fw_Relay_Free(r);
}
END_TEST

static struct fw_relay *
with_model(const char *name)
{
    struct fw_relay_opts o = {.retry_window_us = 1};
    struct fw_rl_rules *rules = Fw_Rules_New();
    struct fw_rl_service_rule *s = Fw_Rules_AddService(rules);
    struct fw_rl_acts acts;
    struct fw_relay *r;

    g_strlcpy(o.name, name, sizeof(o.name));
    r = Fw_Relay_New(&o, FW_SEC);
    rules->version = 1;
    g_strlcpy(s->name, "llm", sizeof(s->name));
    s->engines = 1;
    Fw_Acts_Init(&acts);
    Fw_Relay_Rules(r, rules, 1, FW_SEC, &acts);
    Fw_Acts_Clear(&acts);
    Fw_Rules_Unref(rules);
    return r;
}

/* Guards against engines that a new instance fills by a blind guess. */
START_TEST(a_new_instance_gets_what_was_learned)
{
    struct fw_relay *old = with_model("n1");
    struct fw_relay *fresh = with_model("n2");
    GByteArray *msg = g_byte_array_new();
    struct fw_length_guess a;
    struct fw_length_guess b;

    ck_assert(!Fw_Learned_Write(old, msg));
    for (int i = 0; i < 30; i++) {
        Fw_Length_Note(&Fw_Learned_Of(old, "llm")->length, 300 + i, 2000,
                       23 + i % 4);
    }
    ck_assert(Fw_Learned_Write(old, msg));
    ck_assert_int_lt(Fw_Relay_ReadMessage(fresh, "10.0.0.1:1", msg->data,
                                          msg->len - 1, FW_SEC, NULL),
                     0);
    ck_assert_double_eq(Fw_Learned_Of(fresh, "llm")->length.n, 0);
    ck_assert_int_eq(Fw_Relay_ReadMessage(fresh, "10.0.0.1:1", msg->data,
                                          msg->len, FW_SEC, NULL),
                     0);
    Fw_Length_Guess(&Fw_Learned_Of(old, "llm")->length, 310, 2000, &a);
    Fw_Length_Guess(&Fw_Learned_Of(fresh, "llm")->length, 310, 2000, &b);
    ck_assert_double_eq_tol(a.mean, b.mean, 0.5);
    ck_assert_double_eq_tol(a.dev, b.dev, 0.5);
    g_byte_array_unref(msg);
    Fw_Relay_Free(old);
    Fw_Relay_Free(fresh);
}
END_TEST

int
main(void)
{
    TCase *tc = Fw_Suite_New("relay hubs");

    tcase_add_test(tc, an_instance_of_a_large_fleet_gets_few_messages);
    tcase_add_test(tc, all_of_a_small_fleet_are_hubs);
    tcase_add_test(tc, what_one_leaf_spends_all_others_know);
    tcase_add_test(tc, a_leaf_that_changes_its_hub_is_counted_once);
    tcase_add_test(tc, leaves_of_a_dead_hub_find_another);
    tcase_add_test(tc, a_hub_that_stops_sends_its_leaves_away);
    tcase_add_test(tc, a_domain_that_lost_power_is_met_again);
    tcase_add_test(tc, a_leaf_places_by_a_fresh_picture);
    tcase_add_test(tc, a_placement_waits_for_a_silent_hub_only_shortly);
    tcase_add_test(tc, large_instances_are_hubs_first);
    tcase_add_test(tc, a_new_instance_gets_what_was_learned);
    return Fw_Suite_Run(tc);
}
