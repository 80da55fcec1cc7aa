/* What is learned of answers, and what follows for engines. */
#include <check.h>
#include <math.h>

#include "decide/learned.h"
#include "decide/memory.h"
#include "tests/base/suite.h"

#define FW_MOST 2000
#define FW_EVENT 13
#define FW_ANSWERS 200

/** struct answers - a load; @hint_spread: of estimates, -1 for none given. */
struct answers {
    double mean;
    double spread;
    double hint_spread;
};

static double
around(GRand *rand, double spread)
{
    double sum = 0;

    for (int i = 0; i < 12; i++) {
        sum += g_rand_double(rand);
    }
    return exp(spread * (sum - 6));
}

static int64_t
hint_of(GRand *rand, const struct answers *a, double out)
{
    return a->hint_spread < 0
               ? -1
               : (int64_t)MAX(out * around(rand, a->hint_spread), 1);
}

/* Root of the mean square error of the guesses of the last half, tokens. */
static double
error_of(const struct answers *a, uint32_t seed, double *blind)
{
    struct fw_length_model l = {0};
    struct fw_length_model none = {0};
    GRand *rand = g_rand_new_with_seed(seed);
    double sum = 0;
    double sum_blind = 0;

    for (int i = 0; i < FW_ANSWERS; i++) {
        double out = MIN(a->mean * around(rand, a->spread), FW_MOST);
        int64_t hint = hint_of(rand, a, out);
        struct fw_length_guess g;

        Fw_Length_Guess(&l, hint, FW_MOST, &g);
        if (i >= FW_ANSWERS / 2) {
            sum += (g.mean - out) * (g.mean - out);
            Fw_Length_Guess(&none, hint, FW_MOST, &g);
            sum_blind += (g.mean - out) * (g.mean - out);
        }
        Fw_Length_Note(&l, hint, FW_MOST, (int64_t)ceil(out / FW_EVENT));
    }
    g_rand_free(rand);
    *blind = sqrt(sum_blind / (FW_ANSWERS / 2.0));
    return sqrt(sum / (FW_ANSWERS / 2.0));
}

/*
 * Callers of one model estimate well what they will get, those of another
 * badly, and its answers are far shorter than what they may be. Engines that
 * are filled by one formula for both are half empty with the second.
 */
START_TEST(answers_are_guessed_better_than_blindly)
{
    static const struct answers loads[] = {
        {1000, 0.5, 0.1}, /* good estimates */
        {300, 0.3, 0.5},  /* short answers, far from the most */
        {300, 0.3, 2.0},  /* and estimates that say nothing */
    };
    double blind;
    double error = error_of(&loads[_i], 7, &blind);

    ck_assert_msg(error < 0.8 * blind, "error %g, blind %g", error, blind);
}
END_TEST

/* Nobody gives an estimate: rather too much is expected than too little. */
START_TEST(without_estimates_the_longest_answer_is_the_most)
{
    struct fw_length_model l = {0};
    struct fw_length_guess g;

    for (int i = 0; i < 60; i++) {
        Fw_Length_Note(&l, -1, FW_MOST, i % 2 ? 20 : 100);
    }
    Fw_Length_Guess(&l, -1, FW_MOST, &g);
    ck_assert_double_ge(g.mean, 0.5 * FW_MOST);
    ck_assert_double_le(g.mean, 0.8 * FW_MOST);
}
END_TEST

/* Answers get three times as long; half a hundred later that is known. */
START_TEST(a_changed_load_is_learned_anew)
{
    struct fw_length_model l = {0};
    struct fw_length_guess g;

    for (int i = 0; i < 300; i++) {
        Fw_Length_Note(&l, 260, FW_MOST, 20);
    }
    for (int i = 0; i < 150; i++) {
        Fw_Length_Note(&l, 780, FW_MOST, 60);
    }
    Fw_Length_Guess(&l, 780, FW_MOST, &g);
    ck_assert_double_eq_tol(g.mean, 780, 120);
}
END_TEST

/*
 * An instance that has just started is handed what another one knows; what
 * can't be a figure of answers is left alone.
 */
START_TEST(a_new_instance_takes_over_what_is_known)
{
    double figures[FW_LENGTH_PARAMS];
    struct fw_length_model l = {0};
    struct fw_length_model fresh = {0};
    struct fw_length_guess a;
    struct fw_length_guess b;

    for (int i = 0; i < 40; i++) {
        Fw_Length_Note(&l, 130 + i, FW_MOST, 10 + i % 3);
    }
    Fw_Length_Export(&l, figures);
    Fw_Length_Import(&fresh, figures);
    Fw_Length_Guess(&l, 150, FW_MOST, &a);
    Fw_Length_Guess(&fresh, 150, FW_MOST, &b);
    ck_assert_double_eq(a.mean, b.mean);
    figures[0] += 1;
    figures[2] = -1;
    Fw_Length_Import(&fresh, figures);
    Fw_Length_Guess(&fresh, 150, FW_MOST, &b);
    ck_assert_double_eq(a.mean, b.mean);
}
END_TEST

/* What a stream counts as grows with it, to no more than it may take. */
START_TEST(a_stream_counts_as_what_it_has_grown_to)
{
    struct fw_length_guess g = {.mean = 800, .dev = 0};

    ck_assert_int_eq(Fw_Memory_StreamTokens(3000, &g, FW_MOST, 0), 3400);
    ck_assert_int_eq(Fw_Memory_StreamTokens(3000, &g, FW_MOST, 300), 3400);
    ck_assert_int_eq(Fw_Memory_StreamTokens(3000, &g, FW_MOST, 1200), 4200);
    ck_assert_int_eq(Fw_Memory_StreamTokens(3000, &g, FW_MOST, 9000),
                     3000 + FW_MOST);
}
END_TEST

/* More is left free beside answers that are long or hard to tell. */
START_TEST(the_spare_follows_what_is_uncertain)
{
    struct fw_length_guess sure = {.mean = 900, .dev = 50};
    struct fw_length_guess vague = {.mean = 900, .dev = 700};
    struct fw_length_guess longer = {.mean = 1900, .dev = 50};

    ck_assert_int_lt(Fw_Memory_Spare(&sure, FW_MOST, 12),
                     Fw_Memory_Spare(&vague, FW_MOST, 12));
    ck_assert_int_lt(Fw_Memory_Spare(&sure, FW_MOST, 12),
                     Fw_Memory_Spare(&longer, FW_MOST, 12));
    ck_assert_int_lt(Fw_Memory_Spare(&sure, FW_MOST, 12),
                     Fw_Memory_Spare(&sure, FW_MOST, 48));
}
END_TEST

/*
 * Prompts double for a few seconds, as they do several times a day: engines
 * stay as they are, since a change takes one out of service for seconds.
 * When they are three times as many for good, more engines read.
 */
START_TEST(readers_follow_the_load_and_not_a_burst)
{
    struct fw_prefill_load r = {0};
    int64_t now = FW_SEC;
    int readers = Fw_PrefillPool_TargetSize(1, 9, 0);

    ck_assert_int_eq(readers, 3);
    for (int i = 0; i < 3000; i++) {
        int burst = i >= 600 && i < 700;

        now += 100 * FW_MSEC;
        Fw_Reading_Note(&r, i >= 1500 ? 9000 : burst ? 6000 : 3000, now);
        readers = Fw_PrefillPool_TargetSize(
            Fw_PrefillPool_BusyEngines(&r, Fw_Reading_Rate(&r, now), 30, 1,
                                       now),
            9, readers);
        ck_assert(i >= 1500 || readers == 3);
    }
    /* 2.7 engines' work: 2.7 and 1.8 of its root. */
    ck_assert_int_ge(readers, 5);
    ck_assert_int_le(readers, 6);
}
END_TEST

/* A few requests wait as long as they can still be answered in time. */
START_TEST(waits_follow_what_engines_take)
{
    struct fw_learned slow;
    struct fw_learned quick;

    Fw_Learned_Init(&slow, "s");
    Fw_Learned_Init(&quick, "s");
    for (int i = 0; i < 60; i++) {
        Fw_Mean_Update(&slow.first_event_us, 400.0 * FW_MSEC);
        Fw_Mean_Update(&quick.first_event_us, 40.0 * FW_MSEC);
        Fw_Mean_Update(&slow.run_us, 8.0 * FW_SEC);
        Fw_Learned_NoteRead(&quick, 3000, 30 * FW_MSEC);
    }
    ck_assert_int_lt(Fw_Learned_QueueTime(&slow, 900 * FW_MSEC),
                     510 * FW_MSEC);
    ck_assert_int_gt(Fw_Learned_QueueTime(&quick, 900 * FW_MSEC),
                     800 * FW_MSEC);
    ck_assert_int_ge(Fw_Learned_ReadTime(&quick, 6000), 55 * FW_MSEC);
    ck_assert_int_le(Fw_Learned_ReadTime(&quick, 6000), 65 * FW_MSEC);
    ck_assert_int_ge(Fw_Learned_RetryAfter(&slow, 0), 3 * FW_SEC);
    ck_assert_int_lt(Fw_Learned_RetryAfter(&quick, 0), 2 * FW_SEC);
}
END_TEST

int
main(void)
{
    TCase *tc = Fw_Suite_New("decisions");

    tcase_add_loop_test(tc, answers_are_guessed_better_than_blindly, 0, 3);
    tcase_add_test(tc, without_estimates_the_longest_answer_is_the_most);
    tcase_add_test(tc, a_changed_load_is_learned_anew);
    tcase_add_test(tc, a_new_instance_takes_over_what_is_known);
    tcase_add_test(tc, a_stream_counts_as_what_it_has_grown_to);
    tcase_add_test(tc, the_spare_follows_what_is_uncertain);
    tcase_add_test(tc, readers_follow_the_load_and_not_a_burst);
    tcase_add_test(tc, waits_follow_what_engines_take);
    return Fw_Suite_Run(tc);
}
