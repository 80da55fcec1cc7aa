/* Allowances that are stated for a window of time. */
#include "base/limits.h"
#include "decide/spend_window.h"
#include "tests/base/suite.h"

#define FW_WINDOW_US (8 * FW_SEC)
#define FW_RATE 30000.0
#define FW_BURST 54000.0
#define FW_LIMIT (FW_RATE * 8 + FW_BURST)
#define FW_COST 3000
#define FW_STEP_US (10 * FW_MSEC)
#define FW_STEPS 4000

/**
 * struct demand - requests a second, while it is high and while it is low.
 * @high_us, @low_us: how long each lasts, by turns
 */
struct demand {
    double high;
    double low;
    int64_t high_us;
    int64_t low_us;
};

static const struct demand demands[] = {
    {40, 40, FW_SEC, FW_SEC},         {26, 4, 6 * FW_SEC, 6 * FW_SEC},
    {300, 0, FW_SEC / 2, 7 * FW_SEC}, {300, 0, FW_SEC, 9 * FW_SEC},
    {12, 8, 3 * FW_SEC, 5 * FW_SEC},  {60, 0, 9 * FW_SEC, 3 * FW_SEC},
};

/** struct played - tokens spent by step, and the most within a window. */
struct played {
    int64_t spent[FW_STEPS];
    int64_t total;
    int64_t most;
};

static int64_t
sum_window(const struct played *p, int end)
{
    int64_t sum = 0;

    for (int i = MAX(end - FW_WINDOW_US / FW_STEP_US + 1, 0); i <= end; i++) {
        sum += p->spent[i];
    }
    return sum;
}

static struct played
play(const struct demand *d, int by_window)
{
    struct fw_spend_window w = {0};
    struct played out = {0};
    double level = FW_BURST;
    double asked = 0;

    if (by_window) {
        Fw_SpendWindow_Start(&w, level, FW_SEC);
    }
    for (int i = 0; i < FW_STEPS; i++) {
        int64_t now = FW_SEC + (i + 1) * FW_STEP_US;
        int high = (now - FW_SEC) % (d->high_us + d->low_us) < d->high_us;

        level = Fw_SpendWindow_Refill(&w, level, FW_RATE, FW_BURST, FW_STEP_US,
                                      FW_WINDOW_US, now);
        asked += (high ? d->high : d->low) * FW_STEP_US / FW_SEC;
        for (; asked >= 1; asked--) {
            if (level >= FW_COST) {
                level -= FW_COST;
                out.spent[i] += FW_COST;
                Fw_SpendWindow_Add(&w, FW_COST, FW_WINDOW_US, now);
            }
        }
        out.total += out.spent[i];
        out.most = MAX(out.most, sum_window(&out, i));
    }
    return out;
}

/* Guards against a team that gets more than its rate and burst in a window. */
START_TEST(no_window_exceeds_the_limit)
{
    struct played p = play(&demands[_i], 1);

    ck_assert_msg((double)p.most <= FW_LIMIT, "%" G_GINT64_FORMAT " of %.0f",
                  p.most, FW_LIMIT);
    ck_assert_int_ge(p.total, play(&demands[_i], 0).total);
}
END_TEST

/*
 * Guards against rejections of requests that the limit would allow: a plain
 * bucket passes no more than its rate after its burst.
 */
START_TEST(steady_excess_gets_the_whole_limit)
{
    struct played p = play(&demands[0], 1);
    double seconds = (double)FW_STEPS * FW_STEP_US / FW_SEC;

    ck_assert((double)p.total >= 0.93 * FW_LIMIT * seconds / 8);
    ck_assert((double)play(&demands[0], 0).total <= 0.9 * (double)p.total);
}
END_TEST

/* Guards against the spending of a former process being spent again. */
START_TEST(an_unknown_window_is_refilled_at_the_rate)
{
    struct fw_spend_window w = {0};

    ck_assert(Fw_SpendWindow_Refill(&w, 0, FW_RATE, FW_BURST, FW_SEC,
                                    FW_WINDOW_US, 60 * FW_SEC) == FW_RATE);
    Fw_SpendWindow_Start(&w, 0, 60 * FW_SEC);
    ck_assert(Fw_SpendWindow_Refill(&w, 0, FW_RATE, FW_BURST, FW_SEC,
                                    FW_WINDOW_US, 67 * FW_SEC) == FW_RATE);
    ck_assert(Fw_SpendWindow_Refill(&w, 0, FW_RATE, FW_BURST, FW_SEC,
                                    FW_WINDOW_US, 68 * FW_SEC) > FW_RATE);
    Fw_SpendWindow_Stop(&w);
    ck_assert(Fw_SpendWindow_Refill(&w, 0, FW_RATE, FW_BURST, FW_SEC,
                                    FW_WINDOW_US, 69 * FW_SEC) == FW_RATE);
}
END_TEST

/*
 * Guards against a bucket that is worse off than a plain one, because others
 * may have spent its window unnoticed.
 */
START_TEST(unknown_spending_leaves_the_plain_rate)
{
    struct fw_spend_window w = {0};
    double level = 0;
    double plain = 0;

    Fw_SpendWindow_Start(&w, level, FW_SEC);
    for (int i = 1; i <= FW_STEPS; i++) {
        int64_t now = FW_SEC + i * FW_STEP_US;

        if (i % 100 == 0) {
            Fw_SpendWindow_AddUnknown(&w, (int64_t)FW_LIMIT, FW_WINDOW_US,
                                      now);
        }
        level = Fw_SpendWindow_Refill(&w, level, FW_RATE, FW_BURST, FW_STEP_US,
                                      FW_WINDOW_US, now);
        plain = MIN(plain + FW_RATE * FW_STEP_US / FW_SEC, FW_BURST);
        ck_assert(level >= plain - 1);
        if (level >= FW_COST) {
            level -= FW_COST;
            plain -= FW_COST;
            Fw_SpendWindow_Add(&w, FW_COST, FW_WINDOW_US, now);
        }
    }
}
END_TEST

int
main(void)
{
    TCase *tc = Fw_Suite_New("window of an allowance");

    tcase_add_loop_test(tc, no_window_exceeds_the_limit, 0,
                        G_N_ELEMENTS(demands));
    tcase_add_test(tc, steady_excess_gets_the_whole_limit);
    tcase_add_test(tc, unknown_spending_leaves_the_plain_rate);
    tcase_add_test(tc, an_unknown_window_is_refilled_at_the_rate);
    return Fw_Suite_Run(tc);
}
