/* Sums of the demand of several instances. */
#include <check.h>

#include "base/limits.h"
#include "demand/demand.h"
#include "tests/base/suite.h"

#define FW_START_US (1000 * FW_SEC)
#define FW_SERVICE 17
#define FW_TOKENS 5200
/* Instances of the test: a hub, two leaves of it, another hub. */
#define FW_HUB 1
#define FW_LEAF_A 2
#define FW_LEAF_B 3
#define FW_OTHER_HUB 4

static GArray *
rows_of(const struct fw_demand *d, int with_leaves, uint64_t to, int64_t now)
{
    GArray *rows = g_array_new(FALSE, FALSE, sizeof(struct fw_demand_row));

    Fw_Demand_AppendRows(d, FW_SERVICE, with_leaves, to, now, rows);
    return rows;
}

/* Sends what @from knows to @to. */
static void
exchange(const struct fw_demand *from, struct fw_demand *to, uint64_t source,
         enum fw_demand_scope scope, uint64_t leaf, int64_t now)
{
    GArray *rows = rows_of(from, scope != FW_DEMAND_LEAF, leaf, now);

    Fw_Demand_SetRows(to, source, scope, rows, now);
    g_array_unref(rows);
}

static int64_t
total_waiting(const struct fw_demand *d, int rank, int64_t now)
{
    struct fw_demand_sum sum;

    Fw_Demand_GetTotal(d, FW_SERVICE, rank, now, &sum);
    return sum.waiting;
}

/* Guards against rates that count a burst for ever, or miss a steady load. */
START_TEST(the_rate_follows_the_load_within_a_second)
{
    struct fw_demand *d = Fw_Demand_New();
    struct fw_demand_sum sum;
    int64_t now = FW_START_US;

    for (int i = 0; i < 300; i++) {
        now += 10 * FW_MSEC;
        Fw_Demand_NoteAsked(d, FW_SERVICE, 2, FW_TOKENS, now);
        if (i % 2) {
            Fw_Demand_NoteEnded(d, FW_SERVICE, 2, FW_TOKENS, now);
        }
    }
    Fw_Demand_GetLocal(d, FW_SERVICE, 2, now, &sum);
    ck_assert_double_eq_tol(sum.asked, 100, 10);
    ck_assert_double_eq_tol(sum.asked_tokens, 100.0 * FW_TOKENS,
                            10.0 * FW_TOKENS);
    ck_assert_double_eq_tol(sum.asked_squares, 100.0 * FW_TOKENS * FW_TOKENS,
                            10.0 * FW_TOKENS * FW_TOKENS);
    ck_assert_double_eq_tol(sum.ended, 50, 5);
    ck_assert_double_eq_tol(sum.ended_tokens, 50.0 * FW_TOKENS,
                            5.0 * FW_TOKENS);
    Fw_Demand_GetLocal(d, FW_SERVICE, 2, now + 3 * FW_SEC, &sum);
    ck_assert_double_lt(sum.asked, 6);
    Fw_Demand_GetLocal(d, FW_SERVICE, 1, now, &sum);
    ck_assert_double_eq(sum.asked, 0);
    Fw_Demand_Free(d);
}
END_TEST

/* Guards against demand that is counted twice, or by a leaf as its own. */
START_TEST(each_instance_counts_every_other_once)
{
    struct fw_demand *d[5];
    int64_t now = FW_START_US;

    for (int i = 1; i <= 4; i++) {
        d[i] = Fw_Demand_New();
        Fw_Demand_AddWaiting(d[i], FW_SERVICE, 0, 1 << i, FW_TOKENS);
    }
    for (int round = 0; round < 2; round++) {
        now += 150 * FW_MSEC;
        exchange(d[2], d[1], FW_LEAF_A, FW_DEMAND_LEAF, 0, now);
        exchange(d[3], d[1], FW_LEAF_B, FW_DEMAND_LEAF, 0, now);
        exchange(d[4], d[1], FW_OTHER_HUB, FW_DEMAND_HUB, 0, now);
        exchange(d[1], d[4], FW_HUB, FW_DEMAND_HUB, 0, now);
        exchange(d[1], d[2], FW_HUB, FW_DEMAND_REST, FW_LEAF_A, now);
        exchange(d[1], d[3], FW_HUB, FW_DEMAND_REST, FW_LEAF_B, now);
    }
    for (int i = 1; i <= 4; i++) {
        ck_assert_int_eq(total_waiting(d[i], 0, now), 2 + 4 + 8 + 16);
        ck_assert_int_eq(total_waiting(d[i], 1, now), 0);
    }
    Fw_Demand_AddWaiting(d[3], FW_SERVICE, 0, -8, -FW_TOKENS);
    exchange(d[3], d[1], FW_LEAF_B, FW_DEMAND_LEAF, 0, now);
    ck_assert_int_eq(total_waiting(d[1], 0, now), 2 + 4 + 16);
    for (int i = 1; i <= 4; i++) {
        Fw_Demand_Free(d[i]);
    }
}
END_TEST

/* Guards against an instance that has woken and trusts what it knew before. */
START_TEST(old_rows_count_as_nothing)
{
    struct fw_demand *a = Fw_Demand_New();
    struct fw_demand *b = Fw_Demand_New();
    int64_t now = FW_START_US;
    struct fw_demand_sum sum;
    GArray *rows;

    Fw_Demand_AddWaiting(a, FW_SERVICE, 0, 5, 5 * FW_TOKENS);
    Fw_Demand_AddWaiting(b, FW_SERVICE, 0, 1, FW_TOKENS);
    Fw_Demand_NoteEnded(a, FW_SERVICE, 0, FW_TOKENS, now);
    exchange(a, b, FW_LEAF_A, FW_DEMAND_LEAF, 0, now);
    Fw_Demand_GetTotal(b, FW_SERVICE, 0, now, &sum);
    ck_assert_double_eq_tol(sum.ended_tokens, FW_TOKENS, 1);
    ck_assert_int_eq(total_waiting(b, 0, now + 599 * FW_MSEC), 6);
    ck_assert_int_eq(total_waiting(b, 0, now + 600 * FW_MSEC), 1);
    rows = rows_of(b, 1, 0, now + 600 * FW_MSEC);
    ck_assert_int_eq(g_array_index(rows, struct fw_demand_row, 0).value[3], 1);
    g_array_unref(rows);
    Fw_Demand_Expire(b, now + 600 * FW_MSEC);
    ck_assert_int_eq(total_waiting(b, 0, now), 1);
    Fw_Demand_Free(a);
    Fw_Demand_Free(b);
}
END_TEST

/* Guards against an instance whose role changes and that counts twice. */
START_TEST(the_rows_of_another_role_are_dropped)
{
    struct fw_demand *a = Fw_Demand_New();
    struct fw_demand *b = Fw_Demand_New();

    Fw_Demand_AddWaiting(a, FW_SERVICE, 0, 5, 5 * FW_TOKENS);
    exchange(a, b, FW_LEAF_A, FW_DEMAND_LEAF, 0, FW_START_US);
    exchange(a, b, FW_OTHER_HUB, FW_DEMAND_HUB, 0, FW_START_US);
    ck_assert_int_eq(total_waiting(b, 0, FW_START_US), 10);
    exchange(a, b, FW_HUB, FW_DEMAND_REST, FW_LEAF_B, FW_START_US);
    ck_assert_int_eq(total_waiting(b, 0, FW_START_US), 5);
    exchange(a, b, FW_LEAF_A, FW_DEMAND_LEAF, 0, FW_START_US);
    ck_assert_int_eq(total_waiting(b, 0, FW_START_US), 5);
    Fw_Demand_DropSource(b, FW_LEAF_A);
    ck_assert_int_eq(total_waiting(b, 0, FW_START_US), 0);
    Fw_Demand_Free(a);
    Fw_Demand_Free(b);
}
END_TEST

int
main(void)
{
    TCase *tc = Fw_Suite_New("demand");

    tcase_add_test(tc, the_rate_follows_the_load_within_a_second);
    tcase_add_test(tc, each_instance_counts_every_other_once);
    tcase_add_test(tc, old_rows_count_as_nothing);
    tcase_add_test(tc, the_rows_of_another_role_are_dropped);
    return Fw_Suite_Run(tc);
}
