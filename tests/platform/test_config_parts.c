/* Configurations with parts that can't be used, among others that can. */
#include <string.h>

#include "platform/platform.h"
#include "tests/base/suite.h"

#define FW_GOOD_ROUTE                                                         \
    "{\"Name\":\"r\",\"Host\":\"h\",\"PathPrefix\":\"/a/\",\"Kind\":"         \
    "\"safe\",\"Service\":\"s\"}"
#define FW_ROUTE_AT(HOST, PREFIX)                                             \
    "{\"Name\":\"r\",\"Host\":\"" HOST "\",\"PathPrefix\":\"" PREFIX          \
    "\",\"Kind\":\"safe\",\"Service\":\"s\"}"

/* @text: "%s" stands for the part. Return: one reference. */
static struct fw_rl_rules *
parse(const char *text, const char *part)
{
    g_autoptr(GString) config = g_string_new(text);
    struct fw_rl_rules *r;
    const char *why;

    g_string_replace(config, "%s", part, 1);
    r = Fw_Platform_ParseConfig(config->str, config->len, &why);
    ck_assert_msg(r != NULL, "%s: %s", why, part);
    return r;
}

/* Parts that can't be used; the lists are those of the configuration. */
static const struct {
    const char *routes;
    const char *services;
    const char *teams;
    const char *limits;
} parts[] = {
    {"7", "", "", ""},
    {"{\"Name\":\"x\"}", "", "", ""},
    {"{\"Name\":\"x\",\"Host\":\"h\",\"PathPrefix\":\"/b/\",\"Kind\":\"safe\","
     "\"TrafficSplit\":[]}",
     "", "", ""},
    {"", "7", "", ""},
    {"", "{\"Name\":7}", "", ""},
    {"", "{\"Name\":\"e\",\"Engine\":{}}", "", ""},
    {"", "", "7", ""},
    {"", "", "{\"Name\":\"t\",\"ApiKeys\":[7]}", ""},
    {"", "", "{\"Name\":\"t\",\"RatePerS\":\"5\",\"ApiKeys\":[\"x\"]}", ""},
    {"", "", "{\"Name\":\"t\",\"AllowedRegions\":[7],\"ApiKeys\":[\"x\"]}",
     ""},
    {"", "", "{\"Name\":\"t\",\"AllowedRegions\":\"x\"}", ""},
    {"", "", "", "\"MaxBodyBytes\":\"x\","},
    {"", "", "", "\"IdleTimeoutMs\":[],"},
};

static const char *
separator(const char *part)
{
    return part[0] ? "," : "";
}

/* Guards against a key that stays valid as its removal comes beside a part. */
START_TEST(a_part_that_cannot_be_used_is_left_out_alone)
{
    g_autofree char *text = g_strdup_printf(
        "{\"Version\":7,\"Routes\":[%s%s" FW_GOOD_ROUTE "],"
        "\"Services\":[%s%s{\"Name\":\"s\"}],"
        "\"Tenants\":[%s%s{\"Name\":\"u\",\"ApiKeys\":[\"k\"]}],"
        "\"Limits\":{%s\"MaxHeaderBytes\":9000}}",
        parts[_i].routes, separator(parts[_i].routes), parts[_i].services,
        separator(parts[_i].services), parts[_i].teams,
        separator(parts[_i].teams), parts[_i].limits);
    struct fw_rl_rules *r = parse("%s", text);

    ck_assert_int_eq(r->n_skipped, 1);
    ck_assert(r->first_skipped[0] != 0);
    ck_assert_ptr_nonnull(Fw_Rules_Route(r, "h", "/a/x"));
    ck_assert_ptr_null(Fw_Rules_Route(r, "h", "/b/x"));
    ck_assert_ptr_nonnull(Fw_Rules_Service(r, "s"));
    ck_assert_str_eq(Fw_Rules_Team(r, "k")->name, "u");
    ck_assert_ptr_null(Fw_Rules_Team(r, "x"));
    ck_assert_int_eq(r->header_bytes, 9000);
    ck_assert_int_eq(r->body_bytes, 0);
    Fw_Rules_Unref(r);
}
END_TEST

/** struct length_case - a text of any length, and the longest that is used. */
struct length_case {
    const char *config;
    int longest;
};

static const struct length_case lengths[] = {
    {"{\"Version\":7,\"Routes\":[" FW_ROUTE_AT(
         "%s", "/b/") "," FW_GOOD_ROUTE
                      "],\"Tenants\":[{\"Name\":\"u\",\"ApiKeys\":[\"k\"]}]}",
     FW_HOST_MAX - 1},
    {"{\"Version\":7,\"Routes\":[" FW_ROUTE_AT(
         "h", "/%s/") "," FW_GOOD_ROUTE
                      "],\"Tenants\":[{\"Name\":\"u\",\"ApiKeys\":[\"k\"]}]}",
     FW_PATH_MAX - 3},
    {"{\"Version\":7,\"Routes\":[" FW_GOOD_ROUTE "],\"Services\":[{\"Name\":"
     "\"%s\"}],\"Tenants\":[{\"Name\":\"u\",\"ApiKeys\":[\"k\"]}]}",
     FW_NAME_MAX - 1},
    {"{\"Version\":7,\"Routes\":[" FW_GOOD_ROUTE "],\"Tenants\":[{\"Name\":"
     "\"%s\",\"ApiKeys\":[\"x\"]},{\"Name\":\"u\",\"ApiKeys\":[\"k\"]}]}",
     FW_NAME_MAX - 1},
};

/* Guards against a bound that rejects more than what is over it. */
START_TEST(what_is_over_a_bound_is_left_out_alone)
{
    const struct length_case *t = &lengths[_i];

    for (int n = t->longest - 2; n <= 2 * t->longest; n++) {
        g_autofree char *text = g_strnfill((gsize)n, 'x');
        struct fw_rl_rules *r = parse(t->config, text);

        ck_assert_int_eq(r->n_skipped, n > t->longest);
        ck_assert_ptr_nonnull(Fw_Rules_Route(r, "h", "/a/x"));
        ck_assert_str_eq(Fw_Rules_Team(r, "k")->name, "u");
        Fw_Rules_Unref(r);
    }
}
END_TEST

/* Guards against a split of a route that the operator may write. */
START_TEST(a_split_over_many_services_is_read)
{
    GString *split = g_string_new(NULL);

    for (int n = 1; n <= FW_RL_TARGETS_MAX + 1; n++) {
        struct fw_rl_rules *r;

        g_string_append_printf(split, "%s{\"Service\":\"s%d\",\"Weight\":1}",
                               n > 1 ? "," : "", n);
        r = parse("{\"Version\":7,\"Routes\":[" FW_GOOD_ROUTE
                  ",{\"Name\":\"r\",\"Host\":\"h\",\"PathPrefix\":\"/b/\","
                  "\"Kind\":\"safe\",\"TrafficSplit\":[%s]}]}",
                  split->str);
        ck_assert_int_eq(r->n_skipped, n > FW_RL_TARGETS_MAX);
        ck_assert_ptr_nonnull(Fw_Rules_Route(r, "h", "/a/x"));
        Fw_Rules_Unref(r);
    }
    g_string_free(split, TRUE);
}
END_TEST

int
main(void)
{
    TCase *tc = Fw_Suite_New("configuration parts");

    tcase_add_loop_test(tc, a_part_that_cannot_be_used_is_left_out_alone, 0,
                        G_N_ELEMENTS(parts));
    tcase_add_loop_test(tc, what_is_over_a_bound_is_left_out_alone, 0,
                        G_N_ELEMENTS(lengths));
    tcase_add_test(tc, a_split_over_many_services_is_read);
    return Fw_Suite_Run(tc);
}
