/* Tests of fwload: schedule, statistics and experiment files. */
#include <check.h>
#include <glib/gstdio.h>
#include <math.h>
#include <string.h>

#include "bench/load/load.h"
#include "tests/base/suite.h"

START_TEST(histogram_error_is_within_limit)
{
    struct fw_latency_histogram *h = g_new0(struct fw_latency_histogram, 1);

    for (int64_t us = 1; us < 40000000; us = us * 5 / 4 + 1) {
        double read;

        memset(h, 0, sizeof(*h));
        Fw_LatencyHistogram_Add(h, us);
        read = Fw_LatencyHistogram_Quantile(h, 0.5);
        /* Half a bucket is 1.09 % of the value. */
        ck_assert_msg(fabs(read - (double)us) <= 0.011 * (double)us + 0.01,
                      "%d read as %f", (int)us, read);
    }
    memset(h, 0, sizeof(*h));
    for (int i = 1; i <= 1000; i++) {
        Fw_LatencyHistogram_Add(h, i * 100);
    }
    ck_assert(fabs(Fw_LatencyHistogram_Quantile(h, 0.95) - 95000) <
              95000 * 0.011);
    ck_assert(fabs(Fw_LatencyHistogram_Quantile(h, 0.99) - 99000) <
              99000 * 0.011);
    g_free(h);
}
END_TEST

START_TEST(bucket_follows_rate_and_burst)
{
    const struct fw_loadgen_team t = {.rate = 100, .burst = 1000};
    struct fw_loadgen_bucket a = {0};

    ck_assert(Fw_LoadgenBucket_TryTake(&a, &t, 1000, FW_SEC));
    ck_assert(!Fw_LoadgenBucket_TryTake(&a, &t, 100, FW_SEC + 500 * FW_MSEC));
    ck_assert(Fw_LoadgenBucket_TryTake(&a, &t, 100, 2 * FW_SEC));
    Fw_LoadgenBucket_Refund(&a, &t, 5000);
    ck_assert(Fw_LoadgenBucket_TryTake(&a, &t, 1000, 2 * FW_SEC));
    ck_assert(!Fw_LoadgenBucket_TryTake(&a, &t, 1001, 100 * FW_SEC));
}
END_TEST

START_TEST(schedule_is_deterministic)
{
    struct fw_experiment e;
    struct fw_experiment e_noisy;
    GArray *first;
    GArray *second;
    GArray *with_noisy;
    const struct fw_loadgen_request *a;
    const struct fw_loadgen_request *b;
    char *text_a;
    char *text_b;

    ck_assert_int_eq(Fw_Experiment_InitBuiltin(&e, "mares-do-tejo"), 0);
    e_noisy = e;
    e_noisy.noisy_team = 0;
    first = Fw_Loadgen_BuildSchedule(&e, 5);
    second = Fw_Loadgen_BuildSchedule(&e, 5);
    with_noisy = Fw_Loadgen_BuildSchedule(&e_noisy, 5);
    ck_assert_uint_eq(first->len, second->len);
    ck_assert_mem_eq(first->data, second->data,
                     first->len * sizeof(struct fw_loadgen_request));
    /* The noisy team's requests come on top of those of the others. */
    ck_assert_uint_gt(with_noisy->len, first->len * 2);
    a = &g_array_index(first, struct fw_loadgen_request, 0);
    b = &g_array_index(second, struct fw_loadgen_request, 0);
    text_a = Fw_Loadgen_BuildPrompt(&e, a);
    text_b = Fw_Loadgen_BuildPrompt(&e, b);
    ck_assert_str_eq(text_a, text_b);
    ck_assert_int_eq((int64_t)strlen(text_a) / 4,
                     a->kind == FW_LOADGEN_COMPLETION
                         ? a->prompt_tokens
                         : (int64_t)strlen(text_a) / 4);
    g_free(text_a);
    g_free(text_b);
    g_array_unref(first);
    g_array_unref(second);
    g_array_unref(with_noisy);
}
END_TEST

/* A request and what it adds to the statistics. */
static const struct {
    const char *name;
    struct fw_loadgen_request req;
    double goodput_per_s;
    double wrongful_refusals;
    double failed;
} stats_rows[] = {
    {"both targets met",
     {.within_limit = 1,
      .sent_us = 1,
      .first_us = 800000,
      .last_us = 1200000,
      .pieces = 11,
      .complete = 1,
      .status = 200,
      .finished = 1},
     1,
     0,
     0},
    {"TTFT target missed",
     {.within_limit = 1,
      .sent_us = 1,
      .first_us = 900000,
      .last_us = 1200000,
      .pieces = 11,
      .complete = 1,
      .status = 200,
      .finished = 1},
     0,
     0,
     0},
    {"ITL target missed",
     {.within_limit = 1,
      .sent_us = 1,
      .first_us = 100000,
      .last_us = 600000,
      .pieces = 11,
      .complete = 1,
      .status = 200,
      .finished = 1},
     0,
     0,
     0},
    {"stream incomplete",
     {.within_limit = 1,
      .sent_us = 1,
      .first_us = 100000,
      .last_us = 200000,
      .pieces = 11,
      .status = 200,
      .finished = 1},
     0,
     0,
     1},
    {"never answered", {.within_limit = 1, .sent_us = 1}, 0, 0, 1},
    {"refused within the rate limit",
     {.within_limit = 1,
      .sent_us = 1,
      .status = 503,
      .not_executed = 1,
      .finished = 1},
     0,
     1,
     0},
    {"failed after the prefill, within the rate limit",
     {.within_limit = 1, .sent_us = 1, .status = 503, .finished = 1},
     0,
     1,
     0},
    {"refused beyond the rate limit",
     {.within_limit = 0,
      .sent_us = 1,
      .status = 429,
      .not_executed = 1,
      .finished = 1},
     0,
     0,
     0},
    {"deadline met",
     {.within_limit = 1,
      .sent_us = 1,
      .first_us = 9000000,
      .last_us = 12000000,
      .pieces = 11,
      .complete = 1,
      .status = 200,
      .finished = 1,
      .deadline_us = 20000000},
     1,
     0,
     0},
    {"cancelled by the client",
     {.within_limit = 1, .sent_us = 1, .cancelled = 1, .finished = 1},
     0,
     0,
     0},
};

START_TEST(stats_count_request)
{
    GArray *schedule =
        g_array_new(FALSE, FALSE, sizeof(struct fw_loadgen_request));
    struct fw_loadgen_stats *s = g_new0(struct fw_loadgen_stats, 1);
    struct fw_experiment e;

    ck_assert_int_eq(Fw_Experiment_InitBuiltin(&e, "fraserlight"), 0);
    e.duration_s = 1;
    g_array_append_val(schedule, stats_rows[_i].req);
    Fw_LoadgenStats_AddRequests(&e, schedule, s);
    ck_assert_msg(s->goodput_per_s == stats_rows[_i].goodput_per_s, "%s",
                  stats_rows[_i].name);
    ck_assert_msg(s->wrongful_refusals == stats_rows[_i].wrongful_refusals,
                  "%s", stats_rows[_i].name);
    ck_assert_msg(s->failed == stats_rows[_i].failed, "%s",
                  stats_rows[_i].name);
    g_array_unref(schedule);
    g_free(s);
}
END_TEST

static const struct {
    const char *text;
    const char *err; /* NULL if the file is valid */
} ini_rows[] = {
    {"workload=fraserlight\nper_s=3\nnoisy=auditors\nfault=kill\n", NULL},
    {"workload=elsewhere\n",
     "[experiment] workload: must be mares-do-tejo or fraserlight"},
    {"workload=fraserlight\nspeed=3\n", "[experiment] speed: unknown key"},
    {"workload=fraserlight\nper_s=fast\n", "[experiment] per_s: bad value"},
    {"workload=fraserlight\nseconds=0\n", "[experiment] seconds: bad value"},
    {"workload=fraserlight\nnoisy=nobody\n", "[experiment] noisy: bad value"},
    {"workload=fraserlight\nfault=flood\n", "[experiment] fault: bad value"},
    {"workload=fraserlight\nout_tokens_min=900\n",
     "[experiment]: a minimum exceeds its maximum, or order_permille + "
     "reading_permille exceeds 1000"},
};

START_TEST(experiment_files_are_checked)
{
    char *dir = g_dir_make_tmp("fwload-XXXXXX", NULL);
    char *file = g_build_filename(dir, "e.ini", NULL);
    char *text = g_strconcat("[experiment]\n", ini_rows[_i].text, NULL);
    GString *err = g_string_new(NULL);
    struct fw_experiment e;
    int rc;

    ck_assert(g_file_set_contents(file, text, -1, NULL));
    rc = Fw_Experiment_Read(&e, file, err);
    if (ini_rows[_i].err) {
        ck_assert_int_ne(rc, 0);
        ck_assert(g_str_has_prefix(err->str, file));
        ck_assert_str_eq(err->str + strlen(file) + 2, ini_rows[_i].err);
    }
    else {
        ck_assert_msg(rc == 0, "%s", err->str);
    }
    g_string_free(err, TRUE);
    (void)g_unlink(file);
    (void)g_rmdir(dir);
    g_free(text);
    g_free(file);
    g_free(dir);
}
END_TEST

int
main(void)
{
    TCase *tc = Fw_Suite_New("load");

    tcase_add_test(tc, histogram_error_is_within_limit);
    tcase_add_test(tc, bucket_follows_rate_and_burst);
    tcase_add_test(tc, schedule_is_deterministic);
    tcase_add_loop_test(tc, stats_count_request, 0,
                        (int)G_N_ELEMENTS(stats_rows));
    tcase_add_loop_test(tc, experiment_files_are_checked, 0,
                        (int)G_N_ELEMENTS(ini_rows));
    return Fw_Suite_Run(tc);
}
