/* Configurations with parts that can't be used, among others that can. */
#include <string.h>

#include "base/hash.h"
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

/*
 * Parts that can't be used; the lists are those of the configuration.
 * @rejects: what is known to be about them, whose requests are rejected: the
 *     path, service or key; NULL if nothing is
 */
static const struct {
    const char *routes;
    const char *services;
    const char *teams;
    const char *limits;
    const char *rejects;
} parts[] = {
    {"7", "", "", "", NULL},
    {"{\"Name\":\"x\"}", "", "", "", NULL},
    {"{\"Name\":\"x\",\"Host\":\"h\",\"PathPrefix\":\"/b/\",\"Kind\":\"safe\","
     "\"TrafficSplit\":[]}",
     "", "", "", "/b/x"},
    {"{\"Name\":7,\"Host\":\"H\",\"PathPrefix\":\"/a/b/\",\"Kind\":\"safe\","
     "\"Service\":\"s\"}",
     "", "", "", "/a/b/x"},
    {"", "7", "", "", NULL},
    {"", "{\"Name\":7}", "", "", NULL},
    {"", "{\"Name\":\"e\",\"Engine\":{}}", "", "", "e"},
    {"", "", "7", "", NULL},
    {"", "", "{\"Name\":\"t\",\"ApiKeys\":[7]}", "", NULL},
    {"", "", "{\"Name\":\"t\",\"RatePerS\":\"5\",\"ApiKeys\":[\"x\"]}", "",
     "x"},
    {"", "", "{\"Name\":\"t\",\"AllowedRegions\":[7],\"ApiKeys\":[\"x\"]}", "",
     "x"},
    {"", "", "{\"Name\":\"t\\r\\nKv-Hold: 1\",\"ApiKeys\":[\"x\"]}", "", "x"},
    {"", "", "{\"Name\":\"t\",\"AllowedRegions\":\"x\"}", "", NULL},
    {"", "", "", "\"MaxBodyBytes\":\"x\",", NULL},
    {"", "", "", "\"IdleTimeoutMs\":[],", NULL},
};

static const char *
separator(const char *part)
{
    return part[0] ? "," : "";
}

/* Whether requests with this path, for this service or key are rejected. */
static int
is_rejected(const struct fw_rl_rules *r, const char *what)
{
    const struct fw_rl_route_rule *route = Fw_Rules_Route(r, "h", what);
    const struct fw_rl_service_rule *service = Fw_Rules_Service(r, what);
    const struct fw_rl_team_rule *team = Fw_Rules_Team(r, what);

    return (route && route->is_unusable) ||
           (service && service->is_unusable) || (team && team->is_unusable);
}

/* Guards against a key that stays valid as its removal comes beside a part. */
START_TEST(a_part_that_cannot_be_used_affects_its_own_requests_alone)
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
    const char *rejects = parts[_i].rejects;

    ck_assert_int_eq(r->n_skipped, 1);
    ck_assert(r->first_skipped[0] != 0);
    ck_assert(!is_rejected(r, "/a/x"));
    ck_assert(!is_rejected(r, "s"));
    ck_assert(!is_rejected(r, "k"));
    ck_assert(!rejects || is_rejected(r, rejects));
    ck_assert_ptr_nonnull(Fw_Rules_Route(r, "h", "/a/x"));
    ck_assert(is_rejected(r, "/b/x") || !Fw_Rules_Route(r, "h", "/b/x"));
    ck_assert_ptr_nonnull(Fw_Rules_Service(r, "s"));
    ck_assert_str_eq(Fw_Rules_Team(r, "k")->name, "u");
    ck_assert(is_rejected(r, "x") || !Fw_Rules_Team(r, "x"));
    ck_assert_int_eq(r->header_bytes, 9000);
    ck_assert_int_eq(r->body_bytes, 0);
    Fw_Rules_Unref(r);
}
END_TEST

#define FW_ANY_LENGTH                                                         \
    "{\"Version\":7,\"Routes\":[" FW_GOOD_ROUTE ",{\"Name\":\"%s\","          \
    "\"Host\":\"%s\",\"PathPrefix\":\"/a/%s/\",\"Kind\":\"safe\","            \
    "\"Service\":\"%s\"}],\"Services\":[{\"Name\":\"s\"},{\"Name\":\"%s\","   \
    "\"HealthCheckPath\":\"/%s\"}],\"Tenants\":[{\"Name\":\"%s\","            \
    "\"ApiKeys\":[\"%s\"]},{\"Name\":\"u\",\"ApiKeys\":[\"k\"]}]}"

/* Guards against a text whose length decides what is in force. */
START_TEST(texts_of_any_length_are_in_force)
{
    for (gsize n = 2; n <= 16384; n += n < 600 ? 1 : 1973) {
        g_autofree char *x = g_strnfill(n, 'x');
        g_autofree char *text =
            g_strdup_printf(FW_ANY_LENGTH, x, x, x, x, x, x, x, x);
        g_autofree char *path = g_strdup_printf("/a/%s/y", x);
        struct fw_rl_rules *r = parse("%s", text);
        const struct fw_rl_route_rule *route = Fw_Rules_Route(r, x, path);

        ck_assert_int_eq(r->n_skipped, 0);
        ck_assert_str_eq(route->name, x);
        ck_assert_str_eq(route->targets[0].service, x);
        ck_assert_str_eq(Fw_Rules_Service(r, x)->health + 1, x);
        ck_assert_str_eq(Fw_Rules_Team(r, x)->name, x);
        ck_assert_str_eq(Fw_Rules_Team(r, "k")->name, "u");
        ck_assert_str_eq(Fw_Rules_Route(r, "h", "/a/x")->name, "r");
        Fw_Rules_Unref(r);
    }
}
END_TEST

/* Guards against a list whose length decides what is in force. */
START_TEST(lists_of_any_length_are_in_force)
{
    GString *split = g_string_new(NULL);
    GString *regions = g_string_new(NULL);

    for (int n = 1; n <= 300; n++) {
        g_autofree char *route = NULL;
        g_autofree char *last = g_strdup_printf("g%d", n);
        const struct fw_rl_route_rule *found;
        struct fw_rl_rules *r;

        g_string_append_printf(split, "%s{\"Service\":\"s%d\",\"Weight\":1}",
                               n > 1 ? "," : "", n);
        g_string_append_printf(regions, "%s\"%s\"", n > 1 ? "," : "", last);
        route = g_strdup_printf(
            "{\"Name\":\"r\",\"Host\":\"h\",\"PathPrefix\":\"/b/\","
            "\"Kind\":\"safe\",\"TrafficSplit\":[%s],"
            "\"AllowedRegions\":[%s]}",
            split->str, regions->str);
        r = parse("{\"Version\":7,\"Routes\":[" FW_GOOD_ROUTE ",%s]}", route);
        found = Fw_Rules_Route(r, "h", "/b/x");
        ck_assert_int_eq(r->n_skipped, 0);
        ck_assert_int_eq(found->n_targets, n);
        ck_assert(Fw_Regions_Allow(&found->regions, Fw_Hash_Str(last)));
        ck_assert(!Fw_Regions_Allow(&found->regions, Fw_Hash_Str("g")));
        Fw_Rules_Unref(r);
    }
    g_string_free(split, TRUE);
    g_string_free(regions, TRUE);
}
END_TEST

int
main(void)
{
    TCase *tc = Fw_Suite_New("configuration parts");

    tcase_add_loop_test(
        tc, a_part_that_cannot_be_used_affects_its_own_requests_alone, 0,
        G_N_ELEMENTS(parts));
    tcase_add_test(tc, texts_of_any_length_are_in_force);
    tcase_add_test(tc, lists_of_any_length_are_in_force);
    return Fw_Suite_Run(tc);
}
