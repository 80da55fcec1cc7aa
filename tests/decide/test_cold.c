/* Admission to cold servers by instances that do not talk to each other. */
#include <check.h>
#include <glib.h>

#include "base/limits.h"
#include "decide/cold.h"
#include "decide/send_window.h"
#include "tests/base/suite.h"

#define FW_INSTANCES_MAX 320
#define FW_SERVERS 200
#define FW_STEP_US (20 * FW_MSEC)
#define FW_STEPS 400
#define FW_STEPS_PER_SECOND 50

/**
 * struct fleet_case - a fleet, a cold server's limit and what is sent to it.
 * @batch: requests that are sent together
 */
struct fleet_case {
    int instances;
    double limit;
    int batch;
};

static const struct fleet_case cases[] = {
    {1, 48.5, 2},  {9, 48.5, 2}, {24, 48.5, 2}, {25, 48.5, 2},  {77, 48.5, 2},
    {77, 48.5, 1}, {9, 8, 1},    {9, 8, 2},     {320, 48.5, 2}, {320, 500, 1},
    {77, 3, 1},    {5, 1, 1},    {1, 1, 1},     {5, 0, 1},
};

/** struct load - instances that all send as much as they may to one server. */
struct load {
    struct fw_send_window windows[FW_INSTANCES_MAX];
    int includes[FW_INSTANCES_MAX];
    int sent_in_step[FW_STEPS];
};

/* The largest number of requests that arrive within one second. */
static int
play(const struct fleet_case *t, GRand *rand)
{
    struct fw_cold_share share =
        Fw_ColdShare_Get(t->limit, t->instances, t->batch);
    struct load *load = g_new0(struct load, 1);
    int most = 0;
    int sum = 0;

    for (int i = 0; i < t->instances; i++) {
        uint64_t hash =
            (uint64_t)g_rand_int(rand) << 32 | (uint64_t)g_rand_int(rand);

        load->includes[i] = Fw_ColdShare_Includes(&share, hash);
    }
    for (int k = 0; k < FW_STEPS; k++) {
        int64_t now = FW_SEC + k * FW_STEP_US;

        for (int i = 0; i < t->instances; i++) {
            struct fw_send_window *w = &load->windows[i];

            while (load->includes[i] &&
                   Fw_SendWindow_Count(w, now - FW_SEC, now) + t->batch <=
                       share.per_second) {
                for (int b = 0; b < t->batch; b++) {
                    Fw_SendWindow_NoteSent(w, now);
                    load->sent_in_step[k]++;
                }
            }
        }
        sum += load->sent_in_step[k];
        if (k >= FW_STEPS_PER_SECOND) {
            sum -= load->sent_in_step[k - FW_STEPS_PER_SECOND];
        }
        most = MAX(most, sum);
    }
    g_free(load);
    return most;
}

/*
 * All instances send as much as they may at the moment a failure domain comes
 * back. Guards against servers that crash as soon as they have started, and
 * against shares so small that cold servers stay idle.
 */
START_TEST(a_cold_server_is_not_overrun)
{
    const struct fleet_case *t = &cases[_i];
    GRand *rand = g_rand_new_with_seed((guint32)_i + 1);
    int served = 0;

    for (int s = 0; s < FW_SERVERS; s++) {
        int most = play(t, rand);

        ck_assert_msg(most <= t->limit, "%d requests of %.1f allowed", most,
                      t->limit);
        served += most;
    }
    if (t->limit >= 8) {
        ck_assert_int_ge(served, (int)(0.1 * t->limit * FW_SERVERS));
    }
    ck_assert(served > 0 || t->limit < t->batch);
    g_rand_free(rand);
}
END_TEST

START_TEST(a_window_covers_one_second)
{
    struct fw_send_window w = {0};

    Fw_SendWindow_NoteSent(&w, 5 * FW_SEC + 99 * FW_MSEC);
    w.committed = 2;
    ck_assert_int_eq(Fw_SendWindow_Count(&w,
                                         5 * FW_SEC + 99 * FW_MSEC - FW_SEC,
                                         5 * FW_SEC + 99 * FW_MSEC),
                     3);
    ck_assert_int_eq(Fw_SendWindow_Count(&w,
                                         6 * FW_SEC + 99 * FW_MSEC - FW_SEC,
                                         6 * FW_SEC + 99 * FW_MSEC),
                     3);
    ck_assert_int_eq(Fw_SendWindow_Count(&w,
                                         6 * FW_SEC + 100 * FW_MSEC - FW_SEC,
                                         6 * FW_SEC + 100 * FW_MSEC),
                     2);
    Fw_SendWindow_NoteSent(&w, 60 * FW_SEC);
    ck_assert_int_eq(
        Fw_SendWindow_Count(&w, 60 * FW_SEC - FW_SEC, 60 * FW_SEC), 3);
}
END_TEST

int
main(void)
{
    TCase *tc = Fw_Suite_New("cold servers");

    tcase_add_loop_test(tc, a_cold_server_is_not_overrun, 0,
                        G_N_ELEMENTS(cases));
    tcase_add_test(tc, a_window_covers_one_second);
    return Fw_Suite_Run(tc);
}
