/* The router's settings, rendered from the template deploy/node.ini.in. */
#include <check.h>
#include <glib/gstdio.h>
#include <string.h>
#include <unistd.h>

#include "base/hash.h"
#include "io/machine_limits.h"
#include "relayd/relayd.h"
#include "tests/base/suite.h"

/** struct placeholder - a placeholder of the template and its value. */
struct placeholder {
    const char *name;
    const char *value;
};

static const struct placeholder defaults[] = {
    {"Node", "n1"},
    {"Zone", "a"},
    {"Listen.Front", "10.1.0.3:8360"},
    {"Listen.Ready", "10.1.0.3:8365"},
    {"Ip", "10.1.0.3"},
    {"InternalPortRange.1", "7515"},
    {"Platform.Address", "10.200.1.7:8361"},
    {"Limits.CpuShare", "0.12"},
    {"Limits.MemoryMb", "88"},
    {"Limits.FileDescriptors", "4100"},
    {"Bounds.RevocationMs", "5000"},
    {"Bounds.RetryBudgetRatio", "0.2"},
    {"Bounds.RetryBudgetExtra", "58"},
    {"Bounds.BudgetWindowS", "10"},
    {"Bounds.QuotaOverage", "0.1"},
    {"Bounds.QuotaTolerance", "72000"},
    {"Bounds.ColdOverage", "1.5"},
    {"Bounds.ColdTolerance", "5"},
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

/*
 * Renders the template with the defaults and @override, and loads it with
 * @more at its end. A value of NULL is absent.
 */
static int
load_with(const struct placeholder *override, const char *more,
          struct fw_relayd_opts *out, char **error)
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
    g_string_replace(text, "{{#Zones}}{{@}}:{{.}}{{,}}{{/Zones}}",
                     strcmp(override->name, "Zones") == 0 ? override->value
                                                          : "a:x,b:x,c:y",
                     0);
    replace(text, override->name, override->value ? override->value : "");
    for (size_t i = 0; i < G_N_ELEMENTS(defaults); i++) {
        replace(text, defaults[i].name, defaults[i].value);
    }
    ck_assert_ptr_null(strstr(text->str, "{{"));
    g_string_append(text, more);
    ck_assert(g_file_set_contents(path, text->str, -1, NULL));
    *error = NULL;
    rc = Fw_Relayd_LoadSettings(path, out, error);
    g_unlink(path);
    g_free(path);
    g_string_free(text, TRUE);
    return rc;
}

#define FW_AT(field) offsetof(struct fw_relayd_opts, relay.field)
#define FW_MEMORY_AT offsetof(struct fw_relayd_opts, memory_bytes)

static int
render_and_load(const struct placeholder *override, struct fw_relayd_opts *out,
                char **error)
{
    return load_with(override, "", out, error);
}

/**
 * struct accepted_case - a value, and the resulting option.
 * @at: offset of the option in struct fw_relayd_opts
 */
struct accepted_case {
    struct placeholder override;
    size_t at;
    int64_t want;
};

static const struct accepted_case accepted_cases[] = {
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
    {{"Bounds.ColdOverage", "2"}, FW_AT(cold_overage_ppm), 2000000},
    {{"Bounds.ColdOverage", "1.5"}, FW_AT(cold_overage_ppm), 1500000},
    {{"Bounds.ColdOverage", NULL}, FW_AT(cold_overage_ppm), 1000000},
    {{"Bounds.ColdTolerance", "5.5"}, FW_AT(cold_tolerance), 5},
    {{"Bounds.ColdTolerance", "true"}, FW_AT(cold_tolerance), 1},
    {{"Bounds.ColdTolerance", NULL}, FW_AT(cold_tolerance), 0},
    {{"Bounds.LeaseMs", "3000.7"}, FW_AT(lease_us), 3000000},
    {{"Bounds.RevocationMs", "5000.9"}, FW_AT(key_stale_us), 4800000},
    {{"Limits.FileDescriptors", "3075.5"},
     offsetof(struct fw_relayd_opts, descriptors),
     3075},
    {{"Limits.MemoryMb", "88"}, FW_MEMORY_AT, 44 << 20},
    {{"Limits.MemoryMb", "96.7"}, FW_MEMORY_AT, 48 << 20},
    {{"Limits.MemoryMb", "2"}, FW_MEMORY_AT, 4 << 20},
};

/* Guards against fractions and booleans that prevent the start. */
START_TEST(numbers_are_accepted_in_any_form)
{
    const struct accepted_case *t = &accepted_cases[_i];
    struct fw_relayd_opts opts;
    int64_t got;
    char *error;

    ck_assert_msg(render_and_load(&t->override, &opts, &error) == 0,
                  "%s = %s: %s", t->override.name, t->override.value, error);
    memcpy(&got, (char *)&opts + t->at, sizeof(got));
    ck_assert_int_eq(got, t->want);
}
END_TEST

/* Guards against requests that leave the regions they must stay in. */
START_TEST(domains_have_regions)
{
    struct placeholder none = {"Zones", ""};
    struct placeholder two = {"Zones", "a:x,b:y"};
    const uint64_t x = Fw_Hash_Str("x");
    struct fw_relayd_opts opts;
    char *error;

    ck_assert_int_eq(render_and_load(&two, &opts, &error), 0);
    ck_assert_uint_eq(Fw_Regions_OfDomain(&opts.relay.regions, "a"), x);
    ck_assert_uint_eq(Fw_Regions_OfDomain(&opts.relay.regions, "b"),
                      Fw_Hash_Str("y"));
    ck_assert_uint_eq(Fw_Regions_OfDomain(&opts.relay.regions, "c"), 0);
    ck_assert_int_eq(render_and_load(&none, &opts, &error), 0);
    ck_assert_uint_eq(Fw_Regions_OfDomain(&opts.relay.regions, "a"), 0);
}
END_TEST

/** struct spread_case - lines of the settings, and the resulting option. */
struct spread_case {
    const char *more;
    int rc;
    int64_t want;
};

static const struct spread_case spread_cases[] = {
    {"", 0, 1500000},
    {"\n[policy]\nspeed-spread = 0\n", 0, 0},
    {"\n[policy]\nspeed-spread = false\n", 0, 0},
    {"\n[policy]\nspeed-spread = 2.25\n", 0, 2250000},
    {"\n[policy]\nspeed-spread = -1\n", -1, 0},
    {"\n[policy]\nspeed-spread = much\n", -1, 0},
};

/* Guards against a part that can't be switched off. */
START_TEST(speeds_take_effect_as_set)
{
    const struct spread_case *t = &spread_cases[_i];
    struct placeholder none = {"Node", "n1"};
    struct fw_relayd_opts opts;
    char *error = NULL;
    int rc = load_with(&none, t->more, &opts, &error);

    ck_assert_msg((rc < 0) == (t->rc < 0), "%d: %s", rc, error);
    if (rc == 0) {
        ck_assert_int_eq(opts.relay.speed_spread_ppm, t->want);
    }
    g_free(error);
}
END_TEST

/* Guards against a budget that ignores the limit of the machine. */
START_TEST(the_memory_limit_is_found)
{
    struct placeholder none = {"Limits.MemoryMb", NULL};
    int64_t limit = Fw_MachineLimits_Memory("");
    struct fw_relayd_opts opts;
    char *error;

    ck_assert_int_gt(limit, 0);
    ck_assert_int_eq(render_and_load(&none, &opts, &error), 0);
    ck_assert_int_eq(opts.memory_bytes, limit / 2);
}
END_TEST

/** struct rejected_case - an invalid value, and the end of the error. */
struct rejected_case {
    struct placeholder override;
    const char *error;
};

static const struct rejected_case rejected_cases[] = {
    {{"Zones", "a"},
     "[relay] regions: must be NAME:VALUE pairs, separated by commas"},
    {{"Zones", "a:x,,b:y"},
     "[relay] regions: must be NAME:VALUE pairs, separated by commas"},
    {{"Zones", "a:x y"},
     "[relay] regions: must be NAME:VALUE pairs, separated by commas"},
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
    {{"Limits.MemoryMb", "-1"},
     "[memory] limit-mb: is out of bounds from 0 to 1048576"},
    {{"Bounds.RetryBudgetRatio", "0.2x"},
     "[limits] retry-ratio: must be a number from 0 to 10"},
};

/* Guards against values out of range that are accepted. */
START_TEST(invalid_numbers_are_reported)
{
    const struct rejected_case *t = &rejected_cases[_i];
    struct fw_relayd_opts opts;
    char *error;

    ck_assert_int_lt(render_and_load(&t->override, &opts, &error), 0);
    ck_assert_msg(g_str_has_suffix(error, t->error), "%s", error);
    g_free(error);
}
END_TEST

int
main(void)
{
    TCase *tc = Fw_Suite_New("relay settings");

    tcase_add_test(tc, domains_have_regions);
    tcase_add_test(tc, the_memory_limit_is_found);
    tcase_add_loop_test(tc, numbers_are_accepted_in_any_form, 0,
                        G_N_ELEMENTS(accepted_cases));
    tcase_add_loop_test(tc, speeds_take_effect_as_set, 0,
                        G_N_ELEMENTS(spread_cases));
    tcase_add_loop_test(tc, invalid_numbers_are_reported, 0,
                        G_N_ELEMENTS(rejected_cases));
    return Fw_Suite_Run(tc);
}
