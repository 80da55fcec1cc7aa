/* Speeds of servers, estimated from random samples. */
#include <check.h>
#include <math.h>

#include "base/limits.h"
#include "decide/server_speed.h"
#include "tests/base/suite.h"

#define FW_SERVERS_MAX 64
#define FW_STEP_US (20 * FW_MSEC)
/* Ratio that speeds take effect at by default. */
#define FW_SPREAD 1.5

/**
 * struct pool - servers with their true speeds, and what is believed.
 * @noise: standard deviation of a sample's logarithm
 * @samples_per_s: of each server
 */
struct pool {
    int n;
    double noise;
    double samples_per_s;
    double speed[FW_SERVERS_MAX];
    struct fw_server_speed believed[FW_SERVERS_MAX];
    struct fw_speed_group group;
    GRand *rand;
    int64_t now_us;
};

static void
pool_init(struct pool *p, int n, double samples_per_s, uint32_t seed)
{
    *p = (struct pool){.n = n,
                       .noise = 0.3,
                       .samples_per_s = samples_per_s,
                       .rand = g_rand_new_with_seed(seed),
                       .now_us = FW_SEC};
    Fw_SpeedGroup_Init(&p->group);
    for (int i = 0; i < n; i++) {
        p->speed[i] = 1;
    }
}

static double
normal(GRand *rand)
{
    double u = 1 - g_rand_double(rand);

    return sqrt(-2 * log(u)) * cos(2 * G_PI * g_rand_double(rand));
}

static void
update_group(struct pool *p)
{
    const struct fw_server_speed *all[FW_SERVERS_MAX];

    for (int i = 0; i < p->n; i++) {
        all[i] = &p->believed[i];
    }
    Fw_SpeedGroup_Update(&p->group, all, p->n, 0, p->now_us);
}

/* One request in a hundred takes five times as long as the others. */
static double
draw_rate(struct pool *p, int server)
{
    double rate = p->speed[server] * exp(p->noise * normal(p->rand));

    return 100 * (g_rand_double(p->rand) < 0.01 ? rate / 5 : rate);
}

static void
step(struct pool *p)
{
    double chance = p->samples_per_s * FW_STEP_US / FW_SEC;

    p->now_us += FW_STEP_US;
    for (int i = 0; i < p->n; i++) {
        struct fw_speed_sum sum = {0};
        int k = (int)chance + (g_rand_double(p->rand) < fmod(chance, 1));

        for (; k > 0; k--) {
            Fw_SpeedSum_Add(&sum, &p->group, draw_rate(p, i), 1);
        }
        if (sum.weight > 0) {
            Fw_ServerSpeed_Fold(&p->believed[i], &p->group, &sum, p->now_us);
        }
    }
    update_group(p);
}

static void
run(struct pool *p, int64_t us)
{
    for (int64_t end_us = p->now_us + us; p->now_us < end_us;) {
        step(p);
    }
}

/* Believed speed of a server relative to the mean. */
static double
relative(const struct pool *p, int i)
{
    return exp(Fw_ServerSpeed_Log(&p->believed[i], &p->group, 0, p->now_us) -
               p->group.mean);
}

static const double rates[] = {7, 20, 67};

/*
 * Guards against servers that are slow for less than a second and are given
 * their usual share until they have recovered.
 */
START_TEST(a_slower_server_shows_within_a_second)
{
    struct pool p;
    double sum = 0;

    for (uint32_t seed = 1; seed <= 40; seed++) {
        double before;

        pool_init(&p, 10, rates[_i], seed);
        run(&p, 8 * FW_SEC);
        before = relative(&p, 0);
        p.speed[0] /= 2.5;
        run(&p, FW_SEC);
        sum += log(relative(&p, 0) / before);
        g_rand_free(p.rand);
    }
    ck_assert_msg(sum / 40 < 0.6 * log(1 / 2.5), "only %.2f times slower",
                  exp(-sum / 40));
}
END_TEST

/* Guards against servers that are avoided long after they have recovered. */
START_TEST(a_server_without_samples_returns_to_the_mean)
{
    struct pool p;
    double before;

    pool_init(&p, 10, 20, 1);
    p.speed[0] = 0.3;
    run(&p, 10 * FW_SEC);
    before = log(relative(&p, 0));
    p.now_us += 6 * FW_SEC;
    for (int i = 1; i < p.n; i++) {
        struct fw_speed_sum sum = {.sum = log(100), .weight = 1};

        Fw_ServerSpeed_Fold(&p.believed[i], &p.group, &sum, p.now_us);
    }
    ck_assert_msg(fabs(log(relative(&p, 0)) / before - 0.5) < 0.12,
                  "%.2f of %.2f left", log(relative(&p, 0)), before);
    g_rand_free(p.rand);
}
END_TEST

/* Guards against a server that one long request marks as slow. */
START_TEST(a_single_long_request_changes_little)
{
    struct fw_speed_sum sum = {0};
    struct pool p;
    double before;

    pool_init(&p, 10, 7, 2);
    run(&p, 8 * FW_SEC);
    before = relative(&p, 0);
    Fw_SpeedSum_Add(&sum, &p.group, 0.001, 1);
    Fw_ServerSpeed_Fold(&p.believed[0], &p.group, &sum, p.now_us);
    ck_assert_msg(relative(&p, 0) > 0.6 * before, "%.2f, before %.2f",
                  relative(&p, 0), before);
    run(&p, FW_SEC);
    ck_assert_msg(relative(&p, 0) > 0.75 * before, "%.2f, before %.2f",
                  relative(&p, 0), before);
    g_rand_free(p.rand);
}
END_TEST

/* Guards against an instance whose bad link marks a server slow for all. */
START_TEST(one_of_many_instances_does_not_prevail)
{
    struct pool p;

    pool_init(&p, 10, 20, 3);
    run(&p, 8 * FW_SEC);
    for (int i = 0; i < 100; i++) {
        struct fw_speed_sum bad = {0};

        for (int k = 0; k < 50; k++) {
            Fw_SpeedSum_Add(&bad, &p.group, 1, 1);
        }
        Fw_SpeedSum_Bound(&bad, 1);
        run(&p, 7 * FW_STEP_US);
        Fw_ServerSpeed_Fold(&p.believed[0], &p.group, &bad, p.now_us);
    }
    ck_assert_msg(relative(&p, 0) > 0.5, "%.2f", relative(&p, 0));
    g_rand_free(p.rand);
}
END_TEST

static const struct {
    int n;
    double samples_per_s;
} pools[] = {{3, 67}, {16, 7}, {44, 4}, {3, 1}, {64, 0.5}};

/* Guards against chance that is taken for a difference between servers. */
START_TEST(equal_servers_do_not_seem_uneven)
{
    struct pool p;
    int uneven = 0;

    pool_init(&p, pools[_i].n, pools[_i].samples_per_s, (uint32_t)_i + 1);
    for (int k = 0; k < 3000; k++) {
        step(&p);
        uneven += exp(p.group.spread) > FW_SPREAD;
    }
    ck_assert_msg(uneven <= 30, "uneven in %d of 3000 steps", uneven);
    g_rand_free(p.rand);
}
END_TEST

/* Guards against lasting differences that take effect only now and then. */
START_TEST(uneven_servers_are_distinguished)
{
    static const double speeds[] = {0.7, 0.7, 1.7};
    struct pool p;
    int even = 0;

    pool_init(&p, pools[_i].n, pools[_i].samples_per_s, (uint32_t)_i + 1);
    for (int i = 0; i < p.n; i++) {
        p.speed[i] = speeds[i % 3];
    }
    run(&p, 10 * FW_SEC);
    for (int k = 0; k < 1000; k++) {
        step(&p);
        even += exp(p.group.spread) <= FW_SPREAD;
    }
    ck_assert_msg(even <= 10, "even in %d of 1000 steps", even);
    for (int i = 0; i < p.n && p.samples_per_s >= 4; i++) {
        double ratio = relative(&p, i) / speeds[i % 3];

        ck_assert_msg(ratio > 0.55 && ratio < 1.7, "%.2f of %.2f",
                      relative(&p, i), speeds[i % 3]);
    }
    g_rand_free(p.rand);
}
END_TEST

/* Guards against values that would spoil all later estimates. */
START_TEST(invalid_rates_are_ignored)
{
    static const double invalid[] = {0, -1, NAN};
    struct fw_speed_group g;
    struct fw_speed_sum sum = {0};

    Fw_SpeedGroup_Init(&g);
    for (size_t i = 0; i < G_N_ELEMENTS(invalid); i++) {
        Fw_SpeedSum_Add(&sum, &g, invalid[i], 1);
        Fw_SpeedSum_Add(&sum, &g, 1, invalid[i]);
    }
    ck_assert(sum.weight == 0 && sum.sum == 0);
}
END_TEST

int
main(void)
{
    TCase *tc = Fw_Suite_New("server speed");

    tcase_add_loop_test(tc, a_slower_server_shows_within_a_second, 0,
                        G_N_ELEMENTS(rates));
    tcase_add_test(tc, a_server_without_samples_returns_to_the_mean);
    tcase_add_test(tc, a_single_long_request_changes_little);
    tcase_add_test(tc, one_of_many_instances_does_not_prevail);
    tcase_add_loop_test(tc, equal_servers_do_not_seem_uneven, 0,
                        G_N_ELEMENTS(pools));
    tcase_add_loop_test(tc, uneven_servers_are_distinguished, 0, 3);
    tcase_add_test(tc, invalid_rates_are_ignored);
    return Fw_Suite_Run(tc);
}
