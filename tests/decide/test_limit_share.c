/* Limits that servers name: which one is believed, and how it is shared. */
#include <check.h>
#include <glib.h>

#include "decide/send_window.h"
#include "decide/server_limit.h"
#include "tests/base/suite.h"

#define FW_INSTANCES_MAX 320
#define FW_STEP_US (20 * FW_MSEC)
#define FW_STEPS 1000
#define FW_STEPS_PER_WINDOW (FW_LIMIT_WINDOW_US / FW_STEP_US)

/** struct fleet_case - a fleet, a limit and how many requests go together. */
struct fleet_case {
    int instances;
    int64_t milli;
    int batch;
};

static const struct fleet_case cases[] = {
    {1, 3100, 1},     {3, 3100, 1},    {9, 2600, 1},    {9, 6600, 1},
    {9, 3100, 2},     {9, 0, 1},       {9, 100, 2},     {77, 3000, 1},
    {300, 3000, 1},   {300, 3000, 2},  {300, 0, 1},     {300, 250, 1},
    {300, 100000, 1}, {320, 75000, 2}, {3, 1000000, 1},
};

/** struct fleet - instances that all send as much as they may. */
struct fleet {
    struct fw_send_window windows[FW_INSTANCES_MAX];
    int sent_in_step[FW_STEPS];
    int sent;
};

/* Return: the largest number of requests that arrive within one window. */
static int
play(struct fleet *fleet, const struct fleet_case *t)
{
    int budget = Fw_ServerLimit_Budget(t->milli);
    int most = 0;
    int sum = 0;

    for (int k = 0; k < FW_STEPS; k++) {
        int64_t now = 10 * FW_SEC + k * FW_STEP_US;

        for (int i = 0; i < t->instances; i++) {
            struct fw_send_window *w = &fleet->windows[i];
            int share =
                Fw_ServerLimit_Share(budget, t->instances, i, t->batch);

            while (Fw_SendWindow_Count(w, now - FW_LIMIT_WINDOW_US, now) +
                       t->batch <=
                   share) {
                for (int b = 0; b < t->batch; b++) {
                    Fw_SendWindow_NoteSent(w, now);
                    fleet->sent_in_step[k]++;
                    fleet->sent++;
                }
            }
        }
        sum += fleet->sent_in_step[k];
        if (k >= FW_STEPS_PER_WINDOW) {
            sum -= fleet->sent_in_step[k - FW_STEPS_PER_WINDOW];
        }
        most = MAX(most, sum);
    }
    return most;
}

/*
 * Guards against shares that add up to more than the limit, and against shares
 * so small that a server in need is not used at all.
 */
START_TEST(shares_add_up_to_the_limit)
{
    const struct fleet_case *t = &cases[_i];
    struct fleet *fleet = g_new0(struct fleet, 1);
    int64_t named =
        t->milli * (FW_LIMIT_WINDOW_US / FW_MSEC) / (1000LL * 1000);
    int most = play(fleet, t);
    int windows = FW_STEPS / (int)FW_STEPS_PER_WINDOW;

    ck_assert_int_le(most, MAX(named, t->batch));
    ck_assert_int_ge(most, MAX(named - t->batch + 1, 1));
    ck_assert_int_ge(fleet->sent, most * (windows - 1));
    g_free(fleet);
}
END_TEST

/* Guards against instances that take a share before they know their rank. */
START_TEST(an_instance_of_unknown_rank_gets_no_remainder)
{
    ck_assert_int_eq(Fw_ServerLimit_Share(12, 9, 9, 1), 1);
    ck_assert_int_eq(Fw_ServerLimit_Share(12, 9, 2, 1), 2);
    ck_assert_int_eq(Fw_ServerLimit_Share(12, 9, 3, 1), 1);
    ck_assert_int_eq(Fw_ServerLimit_Share(12, 300, 300, 1), 0);
    ck_assert_int_eq(Fw_ServerLimit_Share(12, 0, 0, 1), 12);
}
END_TEST

/**
 * struct note - a response, or with @version a report of another instance.
 * @milli: the limit in it, FW_NO_LIMIT for none
 * @want_milli: the limit that is believed after it
 * @want_merge: outcome of the report
 */
struct note {
    int64_t at_ms;
    int64_t version;
    int64_t milli;
    int64_t want_milli;
    enum fw_limit_merge want_merge;
};

static const struct note notes[][6] = {
    /* Ended once it has not been named for the window. */
    {{100, 0, 3100, 3100, 0},
     {200, 0, FW_NO_LIMIT, 3100, 0},
     {4099, 0, FW_NO_LIMIT, 3100, 0},
     {4100, 0, FW_NO_LIMIT, FW_NO_LIMIT, 0}},
    /* Another limit with each response. */
    {{100, 0, 50000, 50000, 0},
     {200, 0, 3000, 3000, 0},
     {300, 0, 50000, 3000, 0},
     {400, 0, 3000, 3000, 0},
     {4300, 0, 50000, 3000, 0},
     {4400, 0, 50000, 50000, 0}},
    /* Learned, and not ended by a response that was sent before. */
    {{5000, 3, 3000, 3000, FW_LIMIT_ADOPTED},
     {5100, 0, FW_NO_LIMIT, 3000, 0},
     {5200, 3, 3000, 3000, FW_LIMIT_UNCHANGED},
     {6000, 4, FW_NO_LIMIT, FW_NO_LIMIT, FW_LIMIT_ADOPTED},
     {6100, 3, 3000, FW_NO_LIMIT, FW_LIMIT_OUTDATED}},
    /* Others have seen the end, this instance the limit just now. */
    {{5000, 7, FW_NO_LIMIT, FW_NO_LIMIT, FW_LIMIT_UNCHANGED},
     {6000, 0, 3000, 3000, 0},
     {6100, 9, FW_NO_LIMIT, 3000, FW_LIMIT_OUTDATED},
     {6200, 9, FW_NO_LIMIT, 3000, FW_LIMIT_OUTDATED},
     {11000, 11, FW_NO_LIMIT, FW_NO_LIMIT, FW_LIMIT_ADOPTED}},
    /* Found at the same time by two: the lower one holds. */
    {{100, 0, 3000, 3000, 0},
     {200, 1, 2000, 2000, FW_LIMIT_ADOPTED},
     {300, 1, 3000, 2000, FW_LIMIT_OUTDATED}},
    {{100, 0, 0, 0, 0}, {200, 0, 0, 0, 0}, {4300, 0, 1, 1, 0}},
};

/* Guards against a limit that is given up while the server still names it. */
START_TEST(a_lower_limit_is_believed_before_a_higher_one)
{
    struct fw_server_limit l = {.milli = FW_NO_LIMIT};

    for (size_t i = 0; i < G_N_ELEMENTS(notes[_i]); i++) {
        const struct note *n = &notes[_i][i];
        int64_t now = n->at_ms * FW_MSEC;

        if (n->version) {
            ck_assert_int_eq(
                Fw_ServerLimit_Merge(&l, n->milli, n->version, now),
                n->want_merge);
        }
        else if (n->at_ms) {
            Fw_ServerLimit_Note(&l, n->milli, now);
        }
        if (n->at_ms) {
            ck_assert_int_eq(l.milli, n->want_milli);
        }
    }
}
END_TEST

START_TEST(a_window_has_room_when_its_oldest_requests_leave_it)
{
    struct fw_send_window w = {0};
    int64_t span = FW_LIMIT_WINDOW_US;

    Fw_SendWindow_NoteSent(&w, 10 * FW_SEC);
    Fw_SendWindow_NoteSent(&w, 12 * FW_SEC);
    ck_assert_int_eq(Fw_SendWindow_AvailableUs(&w, span, 2, 13 * FW_SEC),
                     13 * FW_SEC);
    ck_assert_int_eq(Fw_SendWindow_AvailableUs(&w, span, 1, 13 * FW_SEC),
                     14 * FW_SEC + FW_SEND_SLOT_US);
    ck_assert_int_eq(Fw_SendWindow_AvailableUs(&w, span, 0, 13 * FW_SEC),
                     16 * FW_SEC + FW_SEND_SLOT_US);
    w.committed = 1;
    ck_assert_int_eq(Fw_SendWindow_AvailableUs(&w, span, 0, 13 * FW_SEC),
                     INT64_MAX);
}
END_TEST

int
main(void)
{
    TCase *tc = Fw_Suite_New("limits of servers");

    tcase_add_loop_test(tc, shares_add_up_to_the_limit, 0,
                        G_N_ELEMENTS(cases));
    tcase_add_test(tc, an_instance_of_unknown_rank_gets_no_remainder);
    tcase_add_loop_test(tc, a_lower_limit_is_believed_before_a_higher_one, 0,
                        G_N_ELEMENTS(notes));
    tcase_add_test(tc, a_window_has_room_when_its_oldest_requests_leave_it);
    return Fw_Suite_Run(tc);
}
