/* Hubs and leaves: state that reaches all, message rates, failover. */
#include <check.h>
#include <string.h>

#include "explore/relay_fleet.h"
#include "tests/base/suite.h"

#define FW_LARGE 120
#define FW_DOMAINS 3
#define FW_SERVER "e0"
#define FW_COST 6000

/** struct fleet_fixture - a fleet that loses no messages, and a team. */
struct fleet_fixture {
    struct fw_run run;
    struct fleet f;
    struct fw_rl_rules *rules;
    const struct fw_rl_team_rule *team;
};

static void
fixture_init(struct fleet_fixture *g, int n)
{
    struct fw_rl_team_rule *t;

    *g = (struct fleet_fixture){.run = {.rand = g_rand_new_with_seed(1)}};
    g->rules = Fw_Rules_New();
    g->rules->version = 1;
    t = Fw_Rules_AddTeam(g->rules);
    t->name = "t";
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

        Fw_Relay_UpdateServer(g->f.instances[i].relay, e.id, &e,
                              Fw_RelayFleet_Now(&g->f, i),
                              &g->f.instances[i].acts);
    }
    Fw_RelayFleet_Advance(&g->f, 3 * FW_SEC);
}

static void
fixture_clear(struct fleet_fixture *g)
{
    Fw_RelayFleet_Clear(&g->f);
    Fw_Rules_Unref(g->rules);
    g_rand_free(g->run.rand);
}

static struct fw_relay *
relay_at(struct fleet_fixture *g, int i)
{
    return g->f.instances[i].relay;
}

/* The first leaf, or the first hub, from @from on. */
static int
find_by_role(struct fleet_fixture *g, int is_hub, int from)
{
    for (int i = from; i < g->f.n; i++) {
        if (relay_at(g, i)->exchange.is_hub == is_hub) {
            return i;
        }
    }
    ck_abort_msg("no such instance");
    return -1;
}

static int
count_live(struct fleet_fixture *g, int i)
{
    int n;

    Fw_Members_Count(relay_at(g, i), Fw_RelayFleet_Now(&g->f, i), &n);
    return n;
}

static void
reset_counters(struct fleet_fixture *g)
{
    g->f.n_cross_domain = 0;
    for (int i = 0; i < g->f.n; i++) {
        g->f.instances[i].n_received = 0;
    }
}

/* Guards against a message rate that grows with the square of the fleet. */
START_TEST(message_rate_is_bounded_in_a_large_fleet)
{
    struct fleet_fixture g;
    int hubs = 0;
    int all = 0;

    fixture_init(&g, FW_LARGE);
    reset_counters(&g);
    for (int s = 0; s < 3; s++) {
        for (int i = 0; i < FW_LARGE; i++) {
            Fw_Relay_SetFreshAsOf(relay_at(&g, i), Fw_RelayFleet_Now(&g.f, i));
        }
        Fw_RelayFleet_Advance(&g.f, FW_SEC);
    }
    for (int i = 0; i < FW_LARGE; i++) {
        int got = g.f.instances[i].n_received;

        hubs += relay_at(&g, i)->exchange.is_hub;
        all += got;
        /* A reply each period, and a list of hubs each second. */
        ck_assert(relay_at(&g, i)->exchange.is_hub || got <= 3 * 9);
        ck_assert_int_eq(count_live(&g, i), FW_LARGE);
    }
    ck_assert_int_ge(hubs, 2 * FW_DOMAINS);
    ck_assert_int_le(hubs, 12);
    /* Two messages per leaf and period, and those between hubs: at most 20 a
     * second per instance. */
    ck_assert_int_le(all, 3 * 20 * FW_LARGE);
    /* Only hubs send to other domains. */
    ck_assert_int_le(g.f.n_cross_domain, 3 * 10 * hubs * hubs);
    fixture_clear(&g);
}
END_TEST

/* Guards against leaves in a fleet small enough for hubs only. */
START_TEST(all_instances_of_a_small_fleet_are_hubs)
{
    struct fleet_fixture g;

    fixture_init(&g, 9);
    for (int i = 0; i < 9; i++) {
        ck_assert(relay_at(&g, i)->exchange.is_hub);
        ck_assert_int_eq(count_live(&g, i), 9);
    }
    fixture_clear(&g);
}
END_TEST

/* Guards against instances that don't learn what a leaf has spent. */
START_TEST(spending_of_a_leaf_reaches_all_instances)
{
    struct fleet_fixture g;
    int64_t level;
    int64_t retry_us;
    int part_permille;
    int leaf;

    fixture_init(&g, 40);
    leaf = find_by_role(&g, 0, 0);
    Fw_RelayFleet_Advance(&g.f, 10 * FW_SEC);
    for (int k = 0; k < 15; k++) {
        ck_assert(Fw_Allowance_Take(relay_at(&g, leaf), g.team, FW_COST,
                                    Fw_RelayFleet_Now(&g.f, leaf), &retry_us));
    }
    Fw_RelayFleet_Advance(&g.f, 400 * FW_MSEC);
    for (int i = 0; i < 40; i++) {
        Fw_Allowance_Describe(relay_at(&g, i), "t", &level, &part_permille);
        ck_assert_int_eq(part_permille, 1000);
        ck_assert_int_le(level, 100000 + 14400 + 5000 - 15 * FW_COST);
    }
    fixture_clear(&g);
}
END_TEST

/* Guards against tokens counted twice or never when a hub is lost. */
START_TEST(a_leaf_that_changes_its_hub_is_counted_once)
{
    struct fleet_fixture g;
    int64_t before;
    int64_t after;
    int64_t retry_us;
    int part_permille;
    int leaf;
    int hub;
    int other;

    fixture_init(&g, 40);
    leaf = find_by_role(&g, 0, 0);
    Fw_RelayFleet_Advance(&g.f, 10 * FW_SEC);
    hub = 0;
    while (strcmp(g.f.instances[hub].name,
                  relay_at(&g, leaf)->exchange.hub->name) != 0) {
        hub++;
    }
    ck_assert(Fw_Allowance_Take(relay_at(&g, leaf), g.team, 10 * FW_COST,
                                Fw_RelayFleet_Now(&g.f, leaf), &retry_us));
    Fw_RelayFleet_Advance(&g.f, 400 * FW_MSEC);
    other = find_by_role(&g, 1, hub == find_by_role(&g, 1, 0) ? hub + 1 : 0);
    Fw_Allowance_Describe(relay_at(&g, other), "t", &before, &part_permille);
    g.f.instances[hub].isolated = 1;
    ck_assert(Fw_Allowance_Take(relay_at(&g, leaf), g.team, FW_COST,
                                Fw_RelayFleet_Now(&g.f, leaf), &retry_us));
    Fw_RelayFleet_Advance(&g.f, 1500 * FW_MSEC);
    Fw_Allowance_Describe(relay_at(&g, other), "t", &after, &part_permille);
    ck_assert_str_ne(relay_at(&g, leaf)->exchange.hub->name,
                     g.f.instances[hub].name);
    /* Refilled for up to two seconds, less the one request. */
    ck_assert_int_le(after, before - FW_COST + 2 * 10500);
    ck_assert_int_ge(after, before - FW_COST);
    fixture_clear(&g);
}
END_TEST

/* Guards against leaves that stay with a hub that is unreachable. */
START_TEST(leaves_of_an_unreachable_hub_change_to_another)
{
    struct fleet_fixture g;
    int hub;

    fixture_init(&g, 60);
    hub = find_by_role(&g, 1, 0);
    g.f.instances[hub].isolated = 1;
    Fw_RelayFleet_Advance(&g.f, 2 * FW_SEC);
    for (int i = 0; i < 60; i++) {
        if (i != hub) {
            ck_assert_int_eq(count_live(&g, i), 59);
        }
    }
    g.f.instances[hub].isolated = 0;
    Fw_RelayFleet_Advance(&g.f, 3 * FW_SEC);
    for (int i = 0; i < 60; i++) {
        ck_assert_int_eq(count_live(&g, i), 60);
    }
    fixture_clear(&g);
}
END_TEST

/* Guards against leaves that wait for the timeout of a draining hub. */
START_TEST(leaves_of_a_draining_hub_change_to_another)
{
    struct fleet_fixture g;
    int hub;

    fixture_init(&g, 60);
    hub = find_by_role(&g, 1, 0);
    Fw_Relay_Drain(relay_at(&g, hub), Fw_RelayFleet_Now(&g.f, hub),
                   &g.f.instances[hub].acts);
    Fw_RelayFleet_Advance(&g.f, 300 * FW_MSEC);
    for (int i = 0; i < 60; i++) {
        struct fw_rl_member *of = relay_at(&g, i)->exchange.hub;

        ck_assert(!of || strcmp(of->name, g.f.instances[hub].name) != 0);
    }
    Fw_RelayFleet_Advance(&g.f, FW_SEC);
    for (int i = 0; i < 60; i++) {
        ck_assert_int_eq(count_live(&g, i), 60);
    }
    fixture_clear(&g);
}
END_TEST

static int
may_place(struct fleet_fixture *g, int i, int64_t since_us)
{
    return !Fw_Exchange_ShouldWait(relay_at(g, i), since_us,
                                   Fw_RelayFleet_Now(&g->f, i));
}

/* Guards against leaves that overload an engine because of stale load. */
START_TEST(a_leaf_places_by_recent_load)
{
    struct fleet_fixture g;
    struct fw_rl_load load;
    int leaf;
    int other;
    int64_t since;

    fixture_init(&g, 40);
    leaf = find_by_role(&g, 0, 0);
    other = find_by_role(&g, 0, leaf + 1);
    Fw_RelayFleet_Advance(&g.f, 100 * FW_MSEC);
    while (may_place(&g, leaf, Fw_RelayFleet_Now(&g.f, leaf))) {
        Fw_RelayFleet_Advance(&g.f, 20 * FW_MSEC);
    }
    Fw_Servers_Find(relay_at(&g, other), FW_SERVER)->running = 5;
    Fw_Delta_NotePlacement(relay_at(&g, other),
                           Fw_Servers_Find(relay_at(&g, other), FW_SERVER));
    Fw_RelayFleet_Send(&g.f, other);
    Fw_RelayFleet_Advance(&g.f, 80 * FW_MSEC);
    since = Fw_RelayFleet_Now(&g.f, leaf);
    may_place(&g, leaf, since);
    Fw_RelayFleet_Send(&g.f, leaf);
    Fw_RelayFleet_Advance(&g.f, 5 * FW_MSEC);
    Fw_RelayFleet_Advance(&g.f, 5 * FW_MSEC);
    ck_assert(may_place(&g, leaf, since));
    Fw_Place_Load(relay_at(&g, leaf),
                  Fw_Servers_Find(relay_at(&g, leaf), FW_SERVER),
                  Fw_RelayFleet_Now(&g.f, leaf), &load);
    ck_assert_int_eq(load.running, 5);
    fixture_clear(&g);
}
END_TEST

/* Guards against requests that wait for a hub until they time out. */
START_TEST(a_placement_stops_waiting_for_an_unreachable_hub)
{
    struct fleet_fixture g;
    int leaf;
    int64_t since;

    fixture_init(&g, 40);
    leaf = find_by_role(&g, 0, 0);
    g.f.instances[leaf].isolated = 1;
    Fw_RelayFleet_Advance(&g.f, 100 * FW_MSEC);
    since = Fw_RelayFleet_Now(&g.f, leaf);
    ck_assert(!may_place(&g, leaf, since));
    Fw_RelayFleet_Advance(&g.f, 20 * FW_MSEC);
    ck_assert(may_place(&g, leaf, since));
    fixture_clear(&g);
}
END_TEST

/* Guards against a domain that stays isolated after all of it restarted. */
START_TEST(a_restarted_domain_rejoins_the_fleet)
{
    struct fleet_fixture g;

    fixture_init(&g, 45);
    Fw_RelayFleet_Partition(&g.f);
    Fw_RelayFleet_Advance(&g.f, 5 * FW_SEC);
    for (int i = 0; i < 45; i++) {
        ck_assert_int_eq(count_live(&g, i),
                         g.f.instances[i].partition ? 15 : 30);
        if (g.f.instances[i].partition) {
            Fw_RelayFleet_Restart(&g.f, i);
        }
    }
    Fw_RelayFleet_Heal(&g.f);
    Fw_RelayFleet_Advance(&g.f, 2 * FW_SEC);
    for (int i = 0; i < 45; i++) {
        ck_assert_int_eq(count_live(&g, i), 45);
    }
    fixture_clear(&g);
}
END_TEST

/* Guards against hubs with less CPU than leaves of the same domain. */
START_TEST(instances_with_more_cpu_are_hubs_first)
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
    ck_assert(!r->exchange.is_hub);
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
make_relay(const char *name)
{
    struct fw_relay_opts o = {.retry_window_us = 1};
    struct fw_rl_rules *rules = Fw_Rules_New();
    struct fw_rl_service_rule *s = Fw_Rules_AddService(rules);
    struct fw_rl_actions acts;
    struct fw_relay *r;

    g_strlcpy(o.name, name, sizeof(o.name));
    r = Fw_Relay_New(&o, FW_SEC);
    rules->version = 1;
    s->name = "llm";
    s->has_engines = 1;
    Fw_RelayActions_Init(&acts);
    Fw_Relay_SetRules(r, rules, 1, FW_SEC, &acts);
    Fw_RelayActions_Clear(&acts);
    Fw_Rules_Unref(rules);
    return r;
}

/* Guards against a new instance that places streams by default estimates. */
START_TEST(a_new_instance_receives_learned_values)
{
    struct fw_relay *old = make_relay("n1");
    struct fw_relay *fresh = make_relay("n2");
    GByteArray *msg = g_byte_array_new();
    struct fw_length_estimate a;
    struct fw_length_estimate b;

    ck_assert(!Fw_ServiceStats_Write(old, msg));
    for (int i = 0; i < 30; i++) {
        Fw_Length_Update(&Fw_ServiceStats_Get(old, "llm")->length, 300 + i,
                         2000, 23 + i % 4);
    }
    ck_assert(Fw_ServiceStats_Write(old, msg));
    ck_assert_int_lt(Fw_Relay_ReadMessage(fresh, "10.0.0.1:1", msg->data,
                                          msg->len - 1, FW_SEC, NULL),
                     0);
    ck_assert_double_eq(Fw_ServiceStats_Get(fresh, "llm")->length.n, 0);
    ck_assert_int_eq(Fw_Relay_ReadMessage(fresh, "10.0.0.1:1", msg->data,
                                          msg->len, FW_SEC, NULL),
                     0);
    Fw_Length_Estimate(&Fw_ServiceStats_Get(old, "llm")->length, 310, 2000,
                       &a);
    Fw_Length_Estimate(&Fw_ServiceStats_Get(fresh, "llm")->length, 310, 2000,
                       &b);
    ck_assert_double_eq_tol(a.mean, b.mean, 0.5);
    ck_assert_double_eq_tol(a.dev, b.dev, 0.5);
    g_byte_array_unref(msg);
    Fw_Relay_Free(old);
    Fw_Relay_Free(fresh);
}
END_TEST

#define FW_SMALL 6

static int
count_instances(struct fleet_fixture *g, int i)
{
    return Fw_Members_Count(relay_at(g, i), Fw_RelayFleet_Now(&g->f, i), NULL);
}

/*
 * Guards against a share of every allowance that stays reserved for ever for
 * an instance that has ended.
 */
START_TEST(an_instance_that_ended_is_forgotten)
{
    struct fleet_fixture g;

    fixture_init(&g, FW_SMALL);
    g.f.instances[0].frozen_until_us = INT64_MAX;
    Fw_RelayFleet_Advance(&g.f, 15 * FW_SEC);
    ck_assert_int_eq(count_instances(&g, 1), FW_SMALL);
    Fw_RelayFleet_Advance(&g.f, 15 * FW_SEC);
    for (int i = 1; i < FW_SMALL; i++) {
        ck_assert_int_eq(count_instances(&g, i), FW_SMALL - 1);
    }
    fixture_clear(&g);
}
END_TEST

/*
 * Guards against both sides of a long partition taking the whole of every
 * allowance, and against sides that never find each other again.
 */
START_TEST(both_sides_of_a_long_partition_count_each_other)
{
    struct fleet_fixture g;

    fixture_init(&g, FW_SMALL);
    Fw_RelayFleet_Partition(&g.f);
    Fw_RelayFleet_Advance(&g.f, 90 * FW_SEC);
    for (int i = 0; i < FW_SMALL; i++) {
        ck_assert_int_eq(count_instances(&g, i), FW_SMALL);
    }
    Fw_RelayFleet_Heal(&g.f);
    Fw_RelayFleet_Advance(&g.f, 3 * FW_SEC);
    for (int i = 0; i < FW_SMALL; i++) {
        int n_live;

        Fw_Members_Count(relay_at(&g, i), Fw_RelayFleet_Now(&g.f, i), &n_live);
        ck_assert_int_eq(n_live, FW_SMALL);
    }
    fixture_clear(&g);
}
END_TEST

#define FW_LEAVES 400

static void
add_peer(struct fw_relay *r, const char *name, int64_t cpu_ppm)
{
    struct fw_rl_peer peer = {.domain = "d", .cpu_ppm = cpu_ppm};

    g_strlcpy(peer.name, name, sizeof(peer.name));
    g_strlcpy(peer.addr, name, sizeof(peer.addr));
    Fw_Relay_AddMember(r, &peer, FW_SEC);
}

/* The name of the hub that the instance @name chooses. */
static void
choose_hub(const char *name, char *chosen)
{
    struct fw_relay_opts opts = {
        .domain = "d", .boot = 1, .seed = 1, .cpu_ppm = 1000};
    struct fw_relay *r;
    char other[FW_NAME_MAX];

    g_strlcpy(opts.name, name, sizeof(opts.name));
    r = Fw_Relay_New(&opts, FW_SEC);
    for (int i = 0; i < FW_LARGE; i++) {
        g_snprintf(other, sizeof(other), "other%d", i);
        add_peer(r, other, i == 0 ? 700000 : i < 10 ? 20000 : 1000);
    }
    Fw_Hubs_UpdateRoles(r, FW_SEC);
    g_strlcpy(chosen, Fw_Hubs_ChooseHub(r)->name, FW_NAME_MAX);
    Fw_Relay_Free(r);
}

/* Guards against a slow hub that delays as many leaves as a fast one serves.
 */
START_TEST(hubs_get_leaves_by_their_cpu)
{
    int n_fast = 0;

    for (int i = 0; i < FW_LEAVES; i++) {
        char name[FW_NAME_MAX];
        char chosen[FW_NAME_MAX];

        g_snprintf(name, sizeof(name), "leaf%d", i);
        choose_hub(name, chosen);
        n_fast += strcmp(chosen, "other0") == 0;
    }
    /* 700 of 880 thousandths of a core. */
    ck_assert_int_gt(n_fast, FW_LEAVES * 72 / 100);
    ck_assert_int_lt(n_fast, FW_LEAVES * 88 / 100);
}
END_TEST

int
main(void)
{
    TCase *tc = Fw_Suite_New("relay hubs");

    tcase_set_timeout(tc, 30);
    tcase_add_test(tc, message_rate_is_bounded_in_a_large_fleet);
    tcase_add_test(tc, all_instances_of_a_small_fleet_are_hubs);
    tcase_add_test(tc, spending_of_a_leaf_reaches_all_instances);
    tcase_add_test(tc, a_leaf_that_changes_its_hub_is_counted_once);
    tcase_add_test(tc, leaves_of_an_unreachable_hub_change_to_another);
    tcase_add_test(tc, leaves_of_a_draining_hub_change_to_another);
    tcase_add_test(tc, a_restarted_domain_rejoins_the_fleet);
    tcase_add_test(tc, a_leaf_places_by_recent_load);
    tcase_add_test(tc, a_placement_stops_waiting_for_an_unreachable_hub);
    tcase_add_test(tc, instances_with_more_cpu_are_hubs_first);
    tcase_add_test(tc, a_new_instance_receives_learned_values);
    tcase_add_test(tc, hubs_get_leaves_by_their_cpu);
    tcase_add_test(tc, an_instance_that_ended_is_forgotten);
    tcase_add_test(tc, both_sides_of_a_long_partition_count_each_other);
    return Fw_Suite_Run(tc);
}
