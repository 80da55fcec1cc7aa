/* Choice of a server for a plain call, and of an engine, by speed. */
#include <check.h>

#include "decide/place_engine.h"
#include "decide/place_plain.h"
#include "tests/base/suite.h"

#define FW_DRAWS 2000
#define FW_WORK_US 30000.0
#define FW_LATE_US 150000.0

/**
 * struct share_case - servers, and the part of the calls that the first gets.
 * @late_us: how late other instances' requests are known
 */
struct share_case {
    int n;
    struct fw_plain_server servers[FW_PLAIN_SERVERS_MAX];
    double late_us;
    double min;
    double max;
};

static const struct share_case share_cases[] = {
    /* The only server gets all. */
    {1, {{1, 6, 40}}, FW_LATE_US, 1, 1},
    /* Equal ones get the same. */
    {3, {{1, 6, 3}, {1, 6, 3}, {1, 6, 3}}, FW_LATE_US, 0.32, 0.35},
    {2, {{1, 6, 0}, {1, 6, 0}}, 0, 0.49, 0.51},
    /* A single instance takes the fast one as long as slots are free. */
    {3, {{1.7, 6, 0}, {0.7, 6, 0}, {0.7, 6, 0}}, 0, 1, 1},
    /* With late views a fast one gets most, but not all. */
    {3, {{1.7, 6, 6}, {0.7, 6, 3}, {0.7, 6, 3}}, FW_LATE_US, 0.5, 0.9},
    /* One with a long queue gets nothing. */
    {2, {{1.7, 6, 30}, {0.7, 6, 2}}, 0, 0, 0},
    {2, {{1, 6, 30}, {1, 6, 2}}, FW_LATE_US, 0, 0.05},
    /* Slots count as speed does. */
    {2, {{1, 12, 8}, {1, 6, 4}}, FW_LATE_US, 0.64, 0.69},
    /* One that fails almost always gets little. */
    {2, {{0.11, 6, 1}, {1, 6, 1}}, FW_LATE_US, 0, 0.02},
    /* Servers without slots are no reason to fail. */
    {2, {{1, 0, 0}, {1, 0, 0}}, FW_LATE_US, 0.49, 0.51},
};

/* Guards against all instances sending to the server that looks best. */
START_TEST(calls_are_spread_by_speed_and_load)
{
    const struct share_case *t = &share_cases[_i];
    int first = 0;
    double part;

    for (int k = 0; k < FW_DRAWS; k++) {
        int at = Fw_PlacePlain_Choose(t->servers, t->n, FW_WORK_US, t->late_us,
                                      (k + 0.5) / FW_DRAWS);

        ck_assert(at >= 0 && at < t->n);
        first += at == 0;
    }
    part = (double)first / FW_DRAWS;
    ck_assert_msg(part >= t->min && part <= t->max, "%.3f of all calls", part);
}
END_TEST

/* Guards against unknown times and chances at their bounds. */
START_TEST(extreme_values_choose_a_server)
{
    static const double chances[] = {0, 1};
    static const double works[] = {0, 1e12};
    const struct fw_plain_server servers[] = {{0.05, 6, 100000}, {20, 1, 0}};

    for (int i = 0; i < 4; i++) {
        int at = Fw_PlacePlain_Choose(servers, 2, works[i / 2], FW_LATE_US,
                                      chances[i % 2]);

        ck_assert(at == 0 || at == 1);
    }
}
END_TEST

/* Guards against slow engines that are drawn as often as fast ones. */
START_TEST(engines_are_drawn_by_speed)
{
    static char engines[3];
    GRand *rand = g_rand_new_with_seed(1);
    int n[3] = {0};

    for (int k = 0; k < FW_DRAWS; k++) {
        struct fw_engine_draw d = {0};

        for (int i = 0; i < 3; i++) {
            Fw_EngineDraw_Add(&d, &engines[i], i == 2 ? 4 : 1, 0,
                              1 - g_rand_double(rand));
        }
        for (int i = 0; i < 2; i++) {
            n[(char *)d.engine[i] - engines]++;
        }
    }
    ck_assert(n[2] > 0.9 * FW_DRAWS);
    ck_assert(ABS(n[0] - n[1]) < 0.1 * FW_DRAWS);
    g_rand_free(rand);
}
END_TEST

START_TEST(the_drawn_engine_with_the_lower_cost_is_used)
{
    struct fw_engine_draw d = {0};
    char a;
    char b;

    ck_assert_ptr_null(Fw_EngineDraw_Best(&d));
    Fw_EngineDraw_Add(&d, &a, 1, 7, 0.5);
    ck_assert_ptr_eq(Fw_EngineDraw_Best(&d), &a);
    Fw_EngineDraw_Add(&d, &b, 1, 5, 0.5);
    ck_assert_ptr_eq(Fw_EngineDraw_Best(&d), &b);
}
END_TEST

/* Guards against streams whose events come later than their objective. */
START_TEST(late_events_count_more_than_free_memory)
{
    double slow = Fw_PlaceEngine_DecodeCost(60000, 0.5, 400, 300);
    double fast = Fw_PlaceEngine_DecodeCost(20000, 1, 200, 300);

    ck_assert(fast < slow);
    ck_assert(Fw_PlaceEngine_DecodeCost(60000, 0.5, 400, 0) < fast);
    ck_assert(Fw_PlaceEngine_DecodeCost(60000, 0.5, 0, 300) < fast);
    ck_assert(Fw_PlaceEngine_DecodeCost(0, 1, 0, 0) > fast);
}
END_TEST

int
main(void)
{
    TCase *tc = Fw_Suite_New("choice by speed");

    tcase_add_loop_test(tc, calls_are_spread_by_speed_and_load, 0,
                        G_N_ELEMENTS(share_cases));
    tcase_add_test(tc, extreme_values_choose_a_server);
    tcase_add_test(tc, engines_are_drawn_by_speed);
    tcase_add_test(tc, the_drawn_engine_with_the_lower_cost_is_used);
    tcase_add_test(tc, late_events_count_more_than_free_memory);
    return Fw_Suite_Run(tc);
}
