/* The load tool: its figures must be right before anything is judged by
 * them. */
#include <check.h>
#include <glib/gstdio.h>
#include <math.h>
#include <string.h>

#include "bench/load/load.h"
#include "tests/base/suite.h"

START_TEST(histogram_keeps_its_stated_error)
{
    struct fw_histogram *h = g_new0(struct fw_histogram, 1);

    for (int64_t us = 1; us < 40000000; us = us * 5 / 4 + 1) {
        double read;

        memset(h, 0, sizeof(*h));
        Fw_Hist_Add(h, us);
        read = Fw_Hist_Quantile(h, 0.5);
        /* Below 32 us whole numbers lie further apart than buckets. */
        ck_assert_msg(fabs(read - (double)us) <= 0.011 * (double)us + 0.01,
                      "%d read as %f", (int)us, read);
    }
    memset(h, 0, sizeof(*h));
    for (int i = 1; i <= 1000; i++) {
        Fw_Hist_Add(h, i * 100);
    }
    ck_assert(fabs(Fw_Hist_Quantile(h, 0.95) - 95000) < 95000 * 0.011);
    ck_assert(fabs(Fw_Hist_Quantile(h, 0.99) - 99000) < 99000 * 0.011);
    g_free(h);
}
END_TEST

START_TEST(account_follows_rate_and_burst)
{
    const struct fw_load_team t = {.rate = 100, .burst = 1000};
    struct fw_account a = {0};

    ck_assert(Fw_Account_Take(&a, &t, 1000, FW_SEC));
    ck_assert(!Fw_Account_Take(&a, &t, 100, FW_SEC + 500 * FW_MSEC));
    ck_assert(Fw_Account_Take(&a, &t, 100, 2 * FW_SEC));
    Fw_Account_Give(&a, &t, 5000);
    ck_assert(Fw_Account_Take(&a, &t, 1000, 2 * FW_SEC));
    ck_assert(!Fw_Account_Take(&a, &t, 1001, 100 * FW_SEC));
}
END_TEST

START_TEST(plan_is_the_same_for_a_seed)
{
    struct fw_experiment e;
    struct fw_experiment noisy;
    GArray *one;
    GArray *two;
    GArray *three;
    const struct fw_shot *a;
    const struct fw_shot *b;
    char *text_a;
    char *text_b;

    ck_assert_int_eq(Fw_Load_Builtin(&e, "mares-do-tejo"), 0);
    noisy = e;
    noisy.noisy = 0;
    one = Fw_Load_Plan(&e, 5);
    two = Fw_Load_Plan(&e, 5);
    three = Fw_Load_Plan(&noisy, 5);
    ck_assert_uint_eq(one->len, two->len);
    ck_assert_mem_eq(one->data, two->data, one->len * sizeof(struct fw_shot));
    /* The others go on sending what they send. */
    ck_assert_uint_gt(three->len, one->len * 2);
    a = &g_array_index(one, struct fw_shot, 0);
    b = &g_array_index(two, struct fw_shot, 0);
    text_a = Fw_Load_Prompt(&e, a);
    text_b = Fw_Load_Prompt(&e, b);
    ck_assert_str_eq(text_a, text_b);
    ck_assert_int_eq((int64_t)strlen(text_a) / 4,
                     a->kind == FW_SHOT_COMPLETION
                         ? a->prompt_tokens
                         : (int64_t)strlen(text_a) / 4);
    g_free(text_a);
    g_free(text_b);
    g_array_unref(one);
    g_array_unref(two);
    g_array_unref(three);
}
END_TEST

/* One shot each; what it counts as. */
static const struct {
    const char *what;
    struct fw_shot shot;
    double good;
    double wrongful;
    double failed;
} score_rows[] = {
    {"within both targets",
     {.within = 1,
      .sent_us = 1,
      .first_us = 800000,
      .last_us = 1200000,
      .pieces = 11,
      .whole = 1,
      .status = 200,
      .ended = 1},
     1,
     0,
     0},
    {"first token late",
     {.within = 1,
      .sent_us = 1,
      .first_us = 900000,
      .last_us = 1200000,
      .pieces = 11,
      .whole = 1,
      .status = 200,
      .ended = 1},
     0,
     0,
     0},
    {"tokens too far apart",
     {.within = 1,
      .sent_us = 1,
      .first_us = 100000,
      .last_us = 600000,
      .pieces = 11,
      .whole = 1,
      .status = 200,
      .ended = 1},
     0,
     0,
     0},
    {"not whole",
     {.within = 1,
      .sent_us = 1,
      .first_us = 100000,
      .last_us = 200000,
      .pieces = 11,
      .status = 200,
      .ended = 1},
     0,
     0,
     1},
    {"never answered", {.within = 1, .sent_us = 1}, 0, 0, 1},
    {"refused within its rate",
     {.within = 1, .sent_us = 1, .status = 503, .ran_no = 1, .ended = 1},
     0,
     1,
     0},
    {"given up after a prefill, within its rate",
     {.within = 1, .sent_us = 1, .status = 503, .ended = 1},
     0,
     1,
     0},
    {"refused beyond its rate",
     {.within = 0, .sent_us = 1, .status = 429, .ran_no = 1, .ended = 1},
     0,
     0,
     0},
    {"a long outlook in time",
     {.within = 1,
      .sent_us = 1,
      .first_us = 9000000,
      .last_us = 12000000,
      .pieces = 11,
      .whole = 1,
      .status = 200,
      .ended = 1,
      .deadline_us = 20000000},
     1,
     0,
     0},
    {"its caller had gone",
     {.within = 1, .sent_us = 1, .cancelled = 1, .ended = 1},
     0,
     0,
     0},
};

START_TEST(score_counts_what_it_says)
{
    GArray *plan = g_array_new(FALSE, FALSE, sizeof(struct fw_shot));
    struct fw_score *s = g_new0(struct fw_score, 1);
    struct fw_experiment e;

    ck_assert_int_eq(Fw_Load_Builtin(&e, "fraserlight"), 0);
    e.seconds = 1;
    g_array_append_val(plan, score_rows[_i].shot);
    Fw_Score_Shots(&e, plan, s);
    ck_assert_msg(s->good_per_s == score_rows[_i].good, "%s",
                  score_rows[_i].what);
    ck_assert_msg(s->wrongful == score_rows[_i].wrongful, "%s",
                  score_rows[_i].what);
    ck_assert_msg(s->failed == score_rows[_i].failed, "%s",
                  score_rows[_i].what);
    g_array_unref(plan);
    g_free(s);
}
END_TEST

static const struct {
    const char *text;
    const char *err; /* NULL: accepted */
} ini_rows[] = {
    {"workload=fraserlight\nper_s=3\nnoisy=auditors\nfault=kill\n", NULL},
    {"workload=elsewhere\n",
     "[experiment] workload: mares-do-tejo or fraserlight is wanted"},
    {"workload=fraserlight\nspeed=3\n", "[experiment] speed: unknown key"},
    {"workload=fraserlight\nper_s=fast\n", "[experiment] per_s: bad value"},
    {"workload=fraserlight\nseconds=0\n", "[experiment] seconds: bad value"},
    {"workload=fraserlight\nnoisy=nobody\n", "[experiment] noisy: bad value"},
    {"workload=fraserlight\nfault=flood\n", "[experiment] fault: bad value"},
    {"workload=fraserlight\nout_tokens_min=900\n",
     "[experiment]: a least value is above its largest, or the shares "
     "exceed 1000"},
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
    rc = Fw_Load_Read(&e, file, err);
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

    tcase_add_test(tc, histogram_keeps_its_stated_error);
    tcase_add_test(tc, account_follows_rate_and_burst);
    tcase_add_test(tc, plan_is_the_same_for_a_seed);
    tcase_add_loop_test(tc, score_counts_what_it_says, 0,
                        (int)G_N_ELEMENTS(score_rows));
    tcase_add_loop_test(tc, experiment_files_are_checked, 0,
                        (int)G_N_ELEMENTS(ini_rows));
    return Fw_Suite_Run(tc);
}
