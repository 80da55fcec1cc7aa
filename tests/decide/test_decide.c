/* Length prediction, memory accounting and prefill pool size. */
#include <check.h>
#include <math.h>

#include "decide/memory.h"
#include "decide/service_stats.h"
#include "tests/base/suite.h"

#define FW_MAX_TOKENS 2000
#define FW_EVENT_TOKENS 13
#define FW_ANSWERS 200

/**
 * struct workload - distribution of answers and of callers' estimates.
 * @mean: of the answers, tokens
 * @spread: standard deviation of the logarithm of an answer's length
 * @hint_spread: the same of estimate / length; -1 for no estimates
 */
struct workload {
    double mean;
    double spread;
    double hint_spread;
};

/* Log-normal factor with a median of 1. */
static double
log_normal_factor(GRand *rand, double spread)
{
    double sum = 0;

    for (int i = 0; i < 12; i++) {
        sum += g_rand_double(rand);
    }
    return exp(spread * (sum - 6));
}

static int64_t
draw_hint(GRand *rand, const struct workload *w, double out)
{
    return w->hint_spread < 0
               ? -1
               : (int64_t)MAX(out * log_normal_factor(rand, w->hint_spread),
                              1);
}

/* Root mean square error in tokens over the second half of the answers. */
static double
prediction_error(const struct workload *w, uint32_t seed, double *prior)
{
    struct fw_length_model l = {0};
    struct fw_length_model none = {0};
    GRand *rand = g_rand_new_with_seed(seed);
    double sum = 0;
    double sum_prior = 0;

    for (int i = 0; i < FW_ANSWERS; i++) {
        double out =
            MIN(w->mean * log_normal_factor(rand, w->spread), FW_MAX_TOKENS);
        int64_t hint = draw_hint(rand, w, out);
        struct fw_length_estimate g;

        Fw_Length_Estimate(&l, hint, FW_MAX_TOKENS, &g);
        if (i >= FW_ANSWERS / 2) {
            sum += (g.mean - out) * (g.mean - out);
            Fw_Length_Estimate(&none, hint, FW_MAX_TOKENS, &g);
            sum_prior += (g.mean - out) * (g.mean - out);
        }
        Fw_Length_Update(&l, hint, FW_MAX_TOKENS,
                         (int64_t)ceil(out / FW_EVENT_TOKENS));
    }
    g_rand_free(rand);
    *prior = sqrt(sum_prior / (FW_ANSWERS / 2.0));
    return sqrt(sum / (FW_ANSWERS / 2.0));
}

/*
 * Prediction must beat the prior with accurate estimates, with answers far
 * below the maximum, and with useless estimates.
 */
START_TEST(prediction_beats_the_prior)
{
    static const struct workload workloads[] = {
        {1000, 0.5, 0.1}, /* accurate estimates */
        {300, 0.3, 0.5},  /* answers far below the maximum */
        {300, 0.3, 2.0},  /* and useless estimates */
    };
    double prior;
    double error = prediction_error(&workloads[_i], 7, &prior);

    ck_assert_msg(error < 0.8 * prior, "error %g, prior %g", error, prior);
}
END_TEST

/* Without estimates the prediction must lean towards the maximum. */
START_TEST(without_estimates_prediction_leans_high)
{
    struct fw_length_model l = {0};
    struct fw_length_estimate g;

    for (int i = 0; i < 60; i++) {
        Fw_Length_Update(&l, -1, FW_MAX_TOKENS, i % 2 ? 20 : 100);
    }
    Fw_Length_Estimate(&l, -1, FW_MAX_TOKENS, &g);
    ck_assert_double_ge(g.mean, 0.5 * FW_MAX_TOKENS);
    ck_assert_double_le(g.mean, 0.8 * FW_MAX_TOKENS);
}
END_TEST

/* The prediction must follow a lasting change of the answers' length. */
START_TEST(prediction_follows_a_changed_workload)
{
    struct fw_length_model l = {0};
    struct fw_length_estimate g;

    for (int i = 0; i < 300; i++) {
        Fw_Length_Update(&l, 260, FW_MAX_TOKENS, 20);
    }
    for (int i = 0; i < 150; i++) {
        Fw_Length_Update(&l, 780, FW_MAX_TOKENS, 60);
    }
    Fw_Length_Estimate(&l, 780, FW_MAX_TOKENS, &g);
    ck_assert_double_eq_tol(g.mean, 780, 120);
}
END_TEST

/* An imported model predicts the same; invalid parameters are ignored. */
START_TEST(exported_model_predicts_the_same)
{
    double params[FW_LENGTH_PARAMS];
    struct fw_length_model l = {0};
    struct fw_length_model imported = {0};
    struct fw_length_estimate a;
    struct fw_length_estimate b;

    for (int i = 0; i < 40; i++) {
        Fw_Length_Update(&l, 130 + i, FW_MAX_TOKENS, 10 + i % 3);
    }
    Fw_Length_Export(&l, params);
    Fw_Length_Import(&imported, params);
    Fw_Length_Estimate(&l, 150, FW_MAX_TOKENS, &a);
    Fw_Length_Estimate(&imported, 150, FW_MAX_TOKENS, &b);
    ck_assert_double_eq(a.mean, b.mean);
    params[0] += 1;
    params[2] = -1;
    Fw_Length_Import(&imported, params);
    Fw_Length_Estimate(&imported, 150, FW_MAX_TOKENS, &b);
    ck_assert_double_eq(a.mean, b.mean);
}
END_TEST

/* A stream's accounted memory grows with it, up to its maximum. */
START_TEST(stream_memory_grows_with_generated_tokens)
{
    struct fw_length_estimate g = {.mean = 800, .dev = 0};

    ck_assert_int_eq(Fw_Memory_StreamTokens(3000, &g, FW_MAX_TOKENS, 0), 3400);
    ck_assert_int_eq(Fw_Memory_StreamTokens(3000, &g, FW_MAX_TOKENS, 300),
                     3400);
    ck_assert_int_eq(Fw_Memory_StreamTokens(3000, &g, FW_MAX_TOKENS, 1200),
                     4200);
    ck_assert_int_eq(Fw_Memory_StreamTokens(3000, &g, FW_MAX_TOKENS, 9000),
                     3000 + FW_MAX_TOKENS);
}
END_TEST

/* Headroom grows with the length, the variance and the number of streams. */
START_TEST(headroom_follows_uncertainty)
{
    struct fw_length_estimate sure = {.mean = 900, .dev = 50};
    struct fw_length_estimate vague = {.mean = 900, .dev = 700};
    struct fw_length_estimate longer = {.mean = 1900, .dev = 50};

    ck_assert_int_lt(Fw_Memory_Headroom(&sure, FW_MAX_TOKENS, 12),
                     Fw_Memory_Headroom(&vague, FW_MAX_TOKENS, 12));
    ck_assert_int_lt(Fw_Memory_Headroom(&sure, FW_MAX_TOKENS, 12),
                     Fw_Memory_Headroom(&longer, FW_MAX_TOKENS, 12));
    ck_assert_int_lt(Fw_Memory_Headroom(&sure, FW_MAX_TOKENS, 12),
                     Fw_Memory_Headroom(&sure, FW_MAX_TOKENS, 48));
}
END_TEST

/* Guards against a pool that counts a slow engine as much as a fast one. */
START_TEST(prefill_pool_counts_speeds)
{
    ck_assert(Fw_PrefillPool_EnginesFor(10, 5, 5) == 10);
    ck_assert(Fw_PrefillPool_EnginesFor(10, 6, 5) < 8.4);
    ck_assert(Fw_PrefillPool_EnginesFor(10, 4, 5) > 12.4);
    ck_assert(Fw_PrefillPool_EnginesFor(10, 0, 0) == 10);
}
END_TEST

/* A burst of ten seconds must not resize the pool; a lasting change must. */
START_TEST(prefill_pool_ignores_bursts)
{
    struct fw_prefill_load r = {0};
    int64_t now = FW_SEC;
    int pool_size = Fw_PrefillPool_TargetSize(1, 9, 0);

    ck_assert_int_eq(pool_size, 3);
    for (int i = 0; i < 3000; i++) {
        int burst = i >= 600 && i < 700;

        now += 100 * FW_MSEC;
        Fw_PrefillLoad_Add(&r, i >= 1500 ? 9000 : burst ? 6000 : 3000, now);
        pool_size = Fw_PrefillPool_TargetSize(
            Fw_PrefillPool_BusyEngines(&r, Fw_PrefillLoad_Rate(&r, now), 30, 1,
                                       now),
            9, pool_size);
        ck_assert(i >= 1500 || pool_size == 3);
    }
    /* Load of 2.7 engines: the target is 2.7 + 1.8 * sqrt(2.7). */
    ck_assert_int_ge(pool_size, 5);
    ck_assert_int_le(pool_size, 6);
}
END_TEST

/* Queue limit, prefill prediction and Retry-After follow measured times. */
START_TEST(time_limits_follow_measured_times)
{
    struct fw_service_stats slow;
    struct fw_service_stats quick;

    Fw_ServiceStats_Init(&slow, "s");
    Fw_ServiceStats_Init(&quick, "s");
    for (int i = 0; i < 60; i++) {
        Fw_Mean_Update(&slow.first_event_us, 400.0 * FW_MSEC);
        Fw_Mean_Update(&quick.first_event_us, 40.0 * FW_MSEC);
        Fw_Mean_Update(&slow.stream_us, 8.0 * FW_SEC);
        Fw_ServiceStats_NotePrefill(&quick, 3000, 30 * FW_MSEC);
    }
    ck_assert_int_lt(Fw_ServiceStats_QueueLimit(&slow, 900 * FW_MSEC),
                     510 * FW_MSEC);
    ck_assert_int_gt(Fw_ServiceStats_QueueLimit(&quick, 900 * FW_MSEC),
                     800 * FW_MSEC);
    ck_assert_int_ge(Fw_ServiceStats_PrefillTime(&quick, 6000), 55 * FW_MSEC);
    ck_assert_int_le(Fw_ServiceStats_PrefillTime(&quick, 6000), 65 * FW_MSEC);
    ck_assert_int_ge(Fw_ServiceStats_RetryAfter(&slow, 0), 3 * FW_SEC);
    ck_assert_int_lt(Fw_ServiceStats_RetryAfter(&quick, 0), 2 * FW_SEC);
}
END_TEST

int
main(void)
{
    TCase *tc = Fw_Suite_New("decisions");

    tcase_add_loop_test(tc, prediction_beats_the_prior, 0, 3);
    tcase_add_test(tc, without_estimates_prediction_leans_high);
    tcase_add_test(tc, prediction_follows_a_changed_workload);
    tcase_add_test(tc, exported_model_predicts_the_same);
    tcase_add_test(tc, stream_memory_grows_with_generated_tokens);
    tcase_add_test(tc, headroom_follows_uncertainty);
    tcase_add_test(tc, prefill_pool_ignores_bursts);
    tcase_add_test(tc, prefill_pool_counts_speeds);
    tcase_add_test(tc, time_limits_follow_measured_times);
    return Fw_Suite_Run(tc);
}
