/* The command-line client without network calls: subcommands, table cells,
 * options and exit statuses. */
#include <check.h>
#include <glib/gstdio.h>
#include <string.h>

#include "ctl/ctl.h"
#include "tests/base/suite.h"

struct find_case {
    const char *first;
    const char *second;
    const char *name; /* NULL: no such subcommand */
    int used;
};

static const struct find_case find_cases[] = {
    {"show", "teams", "show teams", 2}, {"audit", NULL, "audit", 1},
    {"audit", "--json", "audit", 1},    {"explain", "r-1", "explain", 1},
    {"key", "give", "key give", 2},     {"key", NULL, NULL, 1},
    {"show", "moon", NULL, 1},          {"give", "key", NULL, 1},
};

START_TEST(subcommands_are_found_by_one_or_two_words)
{
    for (size_t i = 0; i < G_N_ELEMENTS(find_cases); i++) {
        int used;
        const struct fw_subcommand *v = Fw_Ctl_FindSubcommand(
            find_cases[i].first, find_cases[i].second, &used);

        ck_assert_int_eq(v == NULL, find_cases[i].name == NULL);
        if (v) {
            ck_assert_str_eq(v->name, find_cases[i].name);
            ck_assert_int_eq(used, find_cases[i].used);
        }
    }
}
END_TEST

struct cell_case {
    const char *json;
    const char *text;
};

static const struct cell_case cell_cases[] = {
    {"\"a\"", "a"},
    {"7", "7"},
    {"true", "yes"},
    {"null", ""},
    {"[]", ""},
    {"[\"a\",\"b\"]", "a b"},
    {"[{\"model\":\"m\",\"version\":\"1\",\"adapter\":\"\"}]", "m:1"},
    {"[{\"m\":\"GET\",\"p\":\"/a\",\"i\":false},{\"m\":\"X\"}]",
     "GET:/a:no X"},
    {"{\"a\":1}", "{\"a\":1}"},
};

START_TEST(json_values_are_formatted_as_cells)
{
    for (size_t i = 0; i < G_N_ELEMENTS(cell_cases); i++) {
        JsonNode *node = json_from_string(cell_cases[i].json, NULL);
        char *text = Fw_Ctl_FormatCell(node);

        ck_assert_str_eq(text, cell_cases[i].text);
        g_free(text);
        g_clear_pointer(&node, json_node_unref);
    }
}
END_TEST

START_TEST(options_set_members_of_the_value)
{
    int used;
    const struct fw_subcommand *cmd =
        Fw_Ctl_FindSubcommand("team", "set", &used);
    const struct fw_subcommand *pool =
        Fw_Ctl_FindSubcommand("pool", "set", &used);
    struct fw_args args = {.options = {"10", "20", NULL, "m,n+a"}};
    struct fw_args serves = {.options = {"m@1,n@2+x"}};
    struct fw_args bad = {.options = {"ten"}};
    JsonObject *value = json_object_new();
    JsonNode *node = json_node_new(JSON_NODE_OBJECT);
    char *text;

    ck_assert_int_eq(Fw_Ctl_SetMembers(cmd, &args, value), 0);
    ck_assert_int_eq(Fw_Ctl_SetMembers(pool, &serves, value), 0);
    ck_assert_int_ne(Fw_Ctl_SetMembers(cmd, &bad, value), 0);
    json_node_take_object(node, value);
    text = json_to_string(node, FALSE);
    ck_assert_str_eq(text,
                     "{\"rate\":10,\"burst\":20,\"models\":[\"m\",\"n+a\"],"
                     "\"serves\":["
                     "{\"model\":\"m\",\"version\":\"1\",\"adapter\":\"\"},"
                     "{\"model\":\"n\",\"version\":\"2\",\"adapter\":\"x\"}"
                     "]}");
    g_free(text);
    json_node_unref(node);
}
END_TEST

struct status_case {
    struct fw_response resp;
    int status;
};

static const struct status_case status_cases[] = {
    {{.status = 200}, FW_EXIT_OK},
    {{.status = 400}, FW_EXIT_INVALID},
    {{.status = 401}, FW_EXIT_DENIED},
    {{.status = 404}, FW_EXIT_FAILED},
    {{.status = 409}, FW_EXIT_CONFLICT},
    {{.status = 422}, FW_EXIT_INVALID},
    {{.status = 503}, FW_EXIT_NOT_APPLIED},
    {{.status = 504}, FW_EXIT_UNKNOWN},
    {{.err = -5, .maybe_sent = 0}, FW_EXIT_NOT_APPLIED},
    {{.err = -5, .maybe_sent = 1}, FW_EXIT_UNKNOWN},
};

/* Scripts retry with a new change after "not applied". Guards against that
 * status when the change may have been applied. */
START_TEST(exit_status_tells_whether_change_may_be_applied)
{
    for (size_t i = 0; i < G_N_ELEMENTS(status_cases); i++) {
        ck_assert_int_eq(Fw_Response_Check(&status_cases[i].resp),
                         status_cases[i].status);
    }
}
END_TEST

START_TEST(fleet_file_sets_urls_and_key)
{
    static const char *const texts[] = {
        "{\"operators\":[\"http://a\",\"http://b\"],\"operator_key\":\"k\"}",
        "{}", "[]", "not JSON"};
    char *dir = g_dir_make_tmp("fw-ctl-XXXXXX", NULL);
    char *file = g_build_filename(dir, "fleet.json", NULL);

    for (size_t i = 0; i < G_N_ELEMENTS(texts); i++) {
        struct fw_ctl ctl = {.urls = g_ptr_array_new_with_free_func(g_free)};

        ck_assert(g_file_set_contents(file, texts[i], -1, NULL));
        ck_assert_int_eq(Fw_Ctl_LoadFleet(&ctl, file) == 0, i == 0);
        ck_assert_uint_eq(ctl.urls->len, i == 0 ? 2 : 0);
        if (i == 0) {
            ck_assert_str_eq(ctl.key, "k");
        }
        Fw_Ctl_Clear(&ctl);
    }
    g_unlink(file);
    g_rmdir(dir);
    g_free(file);
    g_free(dir);
}
END_TEST

START_TEST(generated_keys_and_ids_are_unique)
{
    char a[FW_CHANGE_ID_MAX];
    char b[FW_CHANGE_ID_MAX];
    char *x = Fw_Ctl_NewKey();
    char *y = Fw_Ctl_NewKey();

    Fw_Ctl_NewChangeId(a);
    Fw_Ctl_NewChangeId(b);
    ck_assert_str_ne(a, b);
    ck_assert_str_ne(x, y);
    ck_assert_uint_eq(strlen(x), 67);
    ck_assert(Fw_Name_IsValid(a));
    g_free(x);
    g_free(y);
}
END_TEST

int
main(void)
{
    TCase *tc = Fw_Suite_New("ctl");

    tcase_add_test(tc, subcommands_are_found_by_one_or_two_words);
    tcase_add_test(tc, json_values_are_formatted_as_cells);
    tcase_add_test(tc, options_set_members_of_the_value);
    tcase_add_test(tc, exit_status_tells_whether_change_may_be_applied);
    tcase_add_test(tc, fleet_file_sets_urls_and_key);
    tcase_add_test(tc, generated_keys_and_ids_are_unique);
    return Fw_Suite_Run(tc);
}
