/* Estimates of servers' speeds, and the rows that instances exchange. */
#include <check.h>
#include <math.h>

#include "base/limits.h"
#include "speed/speed.h"
#include "tests/base/suite.h"

#define FW_SERVICE 7
#define FW_SPREAD 1.5
#define FW_SERVERS 45

static struct fw_speed_key
key_of(uint64_t server)
{
    return (struct fw_speed_key){
        .server = server, .service = FW_SERVICE, .use = FW_SPEED_PREFILL};
}

static double
speed_of(const struct fw_speed *sp, uint64_t server, int64_t now_us)
{
    struct fw_speed_key key = key_of(server);

    return Fw_Speed_Get(sp, &key, FW_SPREAD, now_us);
}

static void
note(struct fw_speed *sp, uint64_t server, double rate)
{
    struct fw_speed_key key = key_of(server);

    Fw_Speed_NoteSample(sp, &key, rate, 1);
}

/* Server 1 is slow, servers 2 and 3 are fast. Return: the time afterwards. */
static int64_t
observe(struct fw_speed *sp, int64_t now_us)
{
    for (int i = 0; i < 100; i++) {
        note(sp, 1, 50);
        note(sp, 2, 150);
        note(sp, 3, 150);
        now_us += 100 * FW_MSEC;
        Fw_Speed_SettleSamples(sp, 8, 1, now_us);
        Fw_Speed_UpdateGroups(sp, now_us);
    }
    return now_us;
}

START_TEST(speeds_take_effect_beyond_the_spread)
{
    struct fw_speed *sp = Fw_Speed_New();
    struct fw_speed_key key = key_of(1);
    int64_t now = observe(sp, FW_SEC);

    ck_assert(fabs(speed_of(sp, 2, now) / speed_of(sp, 1, now) - 3) < 0.4);
    ck_assert(Fw_Speed_Get(sp, &key, 0, now) == 1);
    ck_assert(Fw_Speed_Get(sp, &key, 4, now) == 1);
    ck_assert(speed_of(sp, 4, now) == 1);
    Fw_Speed_Free(sp);
}
END_TEST

/* Guards against a server that is avoided for what its predecessor did. */
START_TEST(a_new_lifetime_starts_at_the_mean)
{
    struct fw_speed *sp = Fw_Speed_New();
    int64_t now = observe(sp, FW_SEC);

    Fw_Speed_Remove(sp, 1);
    Fw_Speed_Remove(sp, 99);
    ck_assert(speed_of(sp, 1, now) == 1);
    Fw_Speed_Free(sp);
}
END_TEST

/* Copies what one instance has to send to another. */
static void
send_samples(struct fw_speed *from, struct fw_speed *to, int pass_on,
             int64_t now_us)
{
    GArray *rows = g_array_new(FALSE, FALSE, sizeof(struct fw_speed_row));

    Fw_Speed_TakeSamples(from, 1000, rows);
    for (guint i = 0; i < rows->len; i++) {
        Fw_Speed_MergeSamples(to, &g_array_index(rows, struct fw_speed_row, i),
                              pass_on, now_us);
    }
    g_array_unref(rows);
}

static void
send_estimates(struct fw_speed *from, struct fw_speed *to, int64_t now_us)
{
    GArray *rows = g_array_new(FALSE, FALSE, sizeof(struct fw_speed_row));
    GArray *groups =
        g_array_new(FALSE, FALSE, sizeof(struct fw_speed_group_row));

    Fw_Speed_TakeEstimates(from, 1000, now_us, rows);
    Fw_Speed_AppendGroups(from, groups);
    for (guint i = 0; i < rows->len; i++) {
        Fw_Speed_SetEstimate(to, &g_array_index(rows, struct fw_speed_row, i),
                             now_us);
    }
    for (guint i = 0; i < groups->len; i++) {
        Fw_Speed_SetGroup(
            to, &g_array_index(groups, struct fw_speed_group_row, i));
    }
    Fw_Speed_NoteConfirmed(to, now_us);
    g_array_unref(rows);
    g_array_unref(groups);
}

/*
 * Two leaves at two hubs: what the leaves see reaches both hubs, once each,
 * and comes back to both leaves.
 */
START_TEST(samples_go_up_and_estimates_down)
{
    struct fw_speed *leaf[2] = {Fw_Speed_New(), Fw_Speed_New()};
    struct fw_speed *hub[2] = {Fw_Speed_New(), Fw_Speed_New()};
    int64_t now = FW_SEC;

    for (int i = 0; i < 100; i++) {
        now += 100 * FW_MSEC;
        for (int k = 0; k < 2; k++) {
            note(leaf[k], 1, 50);
            note(leaf[k], 2 + (uint64_t)k, 150);
            Fw_Speed_SettleSamples(leaf[k], 1, 0, now);
            send_samples(leaf[k], hub[k], 1, now);
            Fw_Speed_UpdateGroups(hub[k], now);
        }
        send_samples(hub[0], hub[1], 0, now);
        send_samples(hub[1], hub[0], 0, now);
        for (int k = 0; k < 2; k++) {
            Fw_Speed_UpdateGroups(hub[k], now);
            send_estimates(hub[k], leaf[k], now);
        }
    }
    for (int k = 0; k < 2; k++) {
        ck_assert(fabs(speed_of(leaf[k], 3 - (uint64_t)k, now) /
                           speed_of(leaf[k], 1, now) -
                       3) < 0.4);
        ck_assert(Fw_Speed_IsConfirmed(leaf[k], now));
        ck_assert(!Fw_Speed_IsConfirmed(leaf[k], now + 3 * FW_SEC));
        Fw_Speed_Free(leaf[k]);
    }
    Fw_Speed_Free(hub[0]);
    Fw_Speed_Free(hub[1]);
}
END_TEST

/* Guards against messages that repeat what has not changed. */
START_TEST(only_changes_are_taken)
{
    struct fw_speed *sp = Fw_Speed_New();
    GArray *rows = g_array_new(FALSE, FALSE, sizeof(struct fw_speed_row));
    int64_t now = observe(sp, FW_SEC);

    Fw_Speed_TakeEstimates(sp, 1000, now, rows);
    ck_assert_uint_eq(rows->len, 3);
    Fw_Speed_TakeEstimates(sp, 1000, now, rows);
    ck_assert_uint_eq(rows->len, 3);
    Fw_Speed_ResendEstimates(sp);
    Fw_Speed_TakeEstimates(sp, 1000, now, rows);
    ck_assert_uint_eq(rows->len, 6);
    g_array_set_size(rows, 0);
    Fw_Speed_TakeSamples(sp, 1000, rows);
    ck_assert_uint_eq(rows->len, 3);
    Fw_Speed_TakeSamples(sp, 1000, rows);
    ck_assert_uint_eq(rows->len, 3);
    note(sp, 1, 50);
    Fw_Speed_SettleSamples(sp, 8, 1, now);
    Fw_Speed_DropSamples(sp);
    Fw_Speed_TakeSamples(sp, 1000, rows);
    ck_assert_uint_eq(rows->len, 3);
    g_array_unref(rows);
    Fw_Speed_Free(sp);
}
END_TEST

/* Guards against servers whose rows never fit into a bounded message. */
START_TEST(bounded_rows_take_all_servers_in_turn)
{
    struct fw_speed *sp = Fw_Speed_New();
    GArray *rows = g_array_new(FALSE, FALSE, sizeof(struct fw_speed_row));
    int seen[FW_SERVERS + 1] = {0};

    for (int round = 0; round < 15; round++) {
        for (uint64_t i = 1; i <= FW_SERVERS; i++) {
            note(sp, i, 100);
        }
        Fw_Speed_SettleSamples(sp, 8, 1, FW_SEC + round * FW_MSEC);
        g_array_set_size(rows, 0);
        Fw_Speed_TakeSamples(sp, 6, rows);
        ck_assert_uint_eq(rows->len, 6);
        for (guint i = 0; i < rows->len; i++) {
            seen[g_array_index(rows, struct fw_speed_row, i).key.server]++;
        }
    }
    for (int i = 1; i <= FW_SERVERS; i++) {
        ck_assert_int_eq(seen[i], 2);
    }
    g_array_unref(rows);
    Fw_Speed_Free(sp);
}
END_TEST

int
main(void)
{
    TCase *tc = Fw_Suite_New("speed");

    tcase_add_test(tc, speeds_take_effect_beyond_the_spread);
    tcase_add_test(tc, a_new_lifetime_starts_at_the_mean);
    tcase_add_test(tc, samples_go_up_and_estimates_down);
    tcase_add_test(tc, only_changes_are_taken);
    tcase_add_test(tc, bounded_rows_take_all_servers_in_turn);
    return Fw_Suite_Run(tc);
}
