/* The relay's settings as the platform renders them from deploy/node.ini.in.
 */
#include <check.h>
#include <glib/gstdio.h>
#include <string.h>
#include <unistd.h>

#include "relayd/relayd.h"
#include "tests/base/suite.h"

/** struct field - a placeholder of the template and what it is rendered as. */
struct field {
    const char *name;
    const char *value;
};

static const struct field usual[] = {
    {"Node", "n1"},
    {"Zone", "a"},
    {"Listen.Front", "10.1.0.3:8360"},
    {"Listen.Ready", "10.1.0.3:8365"},
    {"Ip", "10.1.0.3"},
    {"InternalPortRange.1", "7515"},
    {"Platform.Address", "10.200.1.7:8361"},
    {"Limits.CpuShare", "0.12"},
    {"Bounds.RevocationMs", "5000"},
    {"Bounds.RetryBudgetRatio", "0.2"},
    {"Bounds.RetryBudgetExtra", "58"},
    {"Bounds.BudgetWindowS", "10"},
    {"Bounds.QuotaOverage", "0.1"},
    {"Bounds.QuotaTolerance", "72000"},
    {"Bounds.LeaseMs", "3000"},
    {"Bounds.GracePeriodS", "8"},
};

static void
replace(GString *text, const char *name, const char *value)
{
    char *mark = g_strdup_printf("{{%s}}", name);

    g_string_replace(text, mark, value, 0);
    g_free(mark);
}

/* Renders the template with @odd in place of its usual value, and loads it. */
static int
load(const struct field *odd, struct fw_relayd_opts *out, char **error)
{
    char *path = NULL;
    char *file = NULL;
    GString *text;
    int fd = g_file_open_tmp("fw-XXXXXX.ini", &path, NULL);
    int rc;

    ck_assert_int_ge(fd, 0);
    close(fd);
    ck_assert(g_file_get_contents("deploy/node.ini.in", &file, NULL, NULL));
    text = g_string_new(file);
    g_free(file);
    replace(text, odd->name, odd->value);
    for (size_t i = 0; i < G_N_ELEMENTS(usual); i++) {
        replace(text, usual[i].name, usual[i].value);
    }
    ck_assert_ptr_null(strstr(text->str, "{{"));
    ck_assert(g_file_set_contents(path, text->str, -1, NULL));
    *error = NULL;
    rc = Fw_Relayd_Load(path, out, error);
    g_unlink(path);
    g_free(path);
    g_string_free(text, TRUE);
    return rc;
}

#define FW_AT(field) offsetof(struct fw_relayd_opts, relay.field)

/** struct taken - a figure, and what stands in the options for it. */
struct taken {
    struct field odd;
    size_t at;
    int64_t want;
};

static const struct taken taken[] = {
    {{"Bounds.RetryBudgetExtra", "33.2"}, FW_AT(retry_extra), 33},
    {{"Bounds.RetryBudgetExtra", "true"}, FW_AT(retry_extra), 1},
    {{"Bounds.RetryBudgetExtra", "false"}, FW_AT(retry_extra), 0},
    {{"Bounds.QuotaTolerance", "7.3e4"}, FW_AT(tolerance_tokens), 73000},
    {{"Bounds.QuotaTolerance", "3842.9"}, FW_AT(tolerance_tokens), 3842},
    {{"Bounds.QuotaTolerance", "false"}, FW_AT(tolerance_tokens), 0},
    {{"Bounds.QuotaOverage", "true"}, FW_AT(overage_ppm), 1000000},
    {{"Bounds.QuotaOverage", "0"}, FW_AT(overage_ppm), 0},
    {{"Bounds.RetryBudgetRatio", "1"}, FW_AT(retry_ratio_ppm), 1000000},
    {{"Bounds.RetryBudgetRatio", "false"}, FW_AT(retry_ratio_ppm), 0},
    {{"Bounds.BudgetWindowS", "2.5"}, FW_AT(retry_window_us), 2500000},
    {{"Bounds.BudgetWindowS", "true"}, FW_AT(retry_window_us), 1000000},
    {{"Bounds.GracePeriodS", "7.25"}, FW_AT(grace_us), 7250000},
    {{"Bounds.GracePeriodS", "true"}, FW_AT(grace_us), 1000000},
    {{"Bounds.LeaseMs", "3000.7"}, FW_AT(lease_us), 3000000},
    {{"Bounds.RevocationMs", "5000.9"}, FW_AT(key_stale_us), 4800000},
};

/* Guards against an instance that doesn't start for a fraction. */
START_TEST(any_form_of_a_figure_is_taken)
{
    const struct taken *t = &taken[_i];
    struct fw_relayd_opts opts;
    int64_t got;
    char *error;

    ck_assert_msg(load(&t->odd, &opts, &error) == 0, "%s = %s: %s",
                  t->odd.name, t->odd.value, error);
    memcpy(&got, (char *)&opts + t->at, sizeof(got));
    ck_assert_int_eq(got, t->want);
}
END_TEST

/** struct refused - a figure, and the end of the error. */
struct refused {
    struct field odd;
    const char *error;
};

static const struct refused refused[] = {
    {{"Bounds.RetryBudgetExtra", "many"},
     "[limits] retry-extra: must be a number from 0 to 1000000"},
    {{"Bounds.RetryBudgetExtra", "-0.5"},
     "[limits] retry-extra: is out of bounds from 0 to 1000000"},
    {{"Bounds.QuotaTolerance", "inf"},
     "[limits] tolerance: must be a number from 0 to 1000000000"},
    {{"Bounds.RevocationMs", "true"},
     "[limits] revocation-ms: is out of bounds from 100 to 600000"},
    {{"Bounds.GracePeriodS", "false"},
     "[limits] grace-s: is out of bounds from 1 to 3600"},
    {{"Bounds.RetryBudgetRatio", "0.2x"},
     "[limits] retry-ratio: must be a number from 0 to 10"},
};

/* Guards against a figure out of range that is accepted silently. */
START_TEST(a_bad_figure_is_named)
{
    const struct refused *t = &refused[_i];
    struct fw_relayd_opts opts;
    char *error;

    ck_assert_int_lt(load(&t->odd, &opts, &error), 0);
    ck_assert_msg(g_str_has_suffix(error, t->error), "%s", error);
    g_free(error);
}
END_TEST

int
main(void)
{
    TCase *tc = Fw_Suite_New("relay settings");

    tcase_add_loop_test(tc, any_form_of_a_figure_is_taken, 0,
                        G_N_ELEMENTS(taken));
    tcase_add_loop_test(tc, a_bad_figure_is_named, 0, G_N_ELEMENTS(refused));
    return Fw_Suite_Run(tc);
}
