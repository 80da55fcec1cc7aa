/* Sheet import: CSV dialects, errors by row and column, and conflicts with
 * changes made since the export. */
#include <check.h>
#include <string.h>

#include "operate/sheet.h"
#include "tests/base/suite.h"
#include "tests/config/rig.h"

#define FW_KEY_DIGEST                                                         \
    "00000000000000000000000000000000000000000000000000000000000000aa"
#define FW_HEADER_AND_BASE "kind,name,rate,burst\r\nsheet,3\r\n"

/* Creates teams a and b (version 1), a pool and an upstream (version 2) and a
 * key of team a (version 3). */
static struct fw_rig *
create_rig(void)
{
    struct fw_rig *rig = Fw_Rig_New(1);

    Fw_Rig_Append(
        &rig->config,
        "{\"v\":1,\"id\":\"1\",\"who\":\"anna\",\"at\":\"t\",\"items\":["
        "{\"kind\":\"team\",\"name\":\"a\",\"was\":0,"
        "\"value\":{\"rate\":10,\"burst\":20}},"
        "{\"kind\":\"team\",\"name\":\"b\",\"was\":0,"
        "\"value\":{\"rate\":30,\"burst\":40,\"models\":[\"m\"]}}]}");
    Fw_Rig_Append(
        &rig->config,
        "{\"v\":1,\"id\":\"2\",\"who\":\"anna\",\"at\":\"t\",\"items\":["
        "{\"kind\":\"pool\",\"name\":\"p\",\"was\":0,\"value\":"
        "{\"serves\":[{\"model\":\"m\",\"version\":\"1\"}]}},"
        "{\"kind\":\"upstream\",\"name\":\"u\",\"was\":0,\"value\":"
        "{\"pool\":\"p\",\"url\":\"http://127.0.0.1:1\","
        "\"role\":\"decode\"}}]}");
    Fw_Rig_Append(
        &rig->config,
        "{\"v\":1,\"id\":\"3\",\"who\":\"anna\",\"at\":\"t\",\"items\":["
        "{\"kind\":\"key\",\"name\":\"" FW_KEY_DIGEST "\",\"was\":0,"
        "\"value\":{\"team\":\"a\"}}]}");
    Fw_Rig_Run(rig, 3 * FW_SEC);
    return rig;
}

/* Formats errors as "row column found" lines or, if there are none, rows as
 * "+name" (added), "~name" (updated) or "=name" (kept as in force). */
static char *
summary(const struct fw_sheet_plan *plan)
{
    GString *out = g_string_new(NULL);

    for (unsigned i = 0; i < plan->errors->len; i++) {
        const struct fw_sheet_error *e =
            &g_array_index(plan->errors, struct fw_sheet_error, i);

        g_string_append_printf(out, "%u %s %s\n", e->row_number, e->column,
                               e->found);
        ck_assert_uint_gt(strlen(e->allowed), 0);
    }
    for (unsigned i = 0; i < plan->rows->len && !plan->n_errors; i++) {
        const struct fw_sheet_row *r = g_ptr_array_index(plan->rows, i);

        if (r->action != FW_ROW_UNCHANGED) {
            g_string_append_printf(out, "%c%s\n",
                                   r->action == FW_ROW_KEEP_CURRENT ? '='
                                   : r->action == FW_ROW_ADD        ? '+'
                                                                    : '~',
                                   r->name);
        }
    }
    return g_string_free(out, FALSE);
}

struct sheet_case {
    const char *text;
    const char *result;
};

static const struct sheet_case sheets[] = {
    /* the exported form, then other CSV dialects */
    {FW_HEADER_AND_BASE "team,a,10,20\r\nteam,b,30,40\r\n", ""},
    {FW_HEADER_AND_BASE "team,a,11,20\r\nteam,c,1,1\r\n", "~a\n+c\n"},
    {"\xef\xbb\xbfkind;name;burst;rate\r\nsheet;3;;\r\nteam;a;20;11,00\r\n",
     "~a\n"},
    {"rate;name;kind\n;3;sheet\n\n\n\"11,0\";\"a\";\"team\"", "~a\n"},
    {"kind,name,rate\rsheet,3,\rteam,a,11.00\r", "~a\n"},
    {FW_HEADER_AND_BASE ",,,\r\nteam,a,,21\r\n", "~a\n"},
    {"kind,name,models\nsheet,3,\nteam,a,m n+x\nteam,b,all\n", "~a\n~b\n"},
    {"kind,name,serves,prefill_min\nsheet,3\npool,p,m@2 m@2+x,2\n", "~p\n"},
    {"kind,name,role,drained\nsheet,3\nupstream,u,prefill,yes\n", "~u\n"},
    {"kind,name,team,withdrawn\nsheet,3\nkey," FW_KEY_DIGEST ",a,yes\n",
     "~" FW_KEY_DIGEST "\n"},
    /* errors */
    {"", "1 (row) nothing\n"},
    {"kind,name,colour\nsheet,3,\n", "1 colour an unknown column\n"},
    {"kind,name,kind\nsheet,3,\n", "1 kind the column twice\n"},
    {"kind,name\nteam,a\n", "0 kind no row of kind sheet\n"},
    {"kind,name\nsheet,3\nsheet,3\n", "3 name 3\n"},
    {"kind,name\nsheet,9\n", "0 name 9\n"},
    {"kind,name\nsheet,soon\n", "2 name soon\n"},
    {FW_HEADER_AND_BASE "moon,a,1,1\r\n", "3 kind moon\n"},
    {FW_HEADER_AND_BASE "service,a,1,1\r\n", "3 kind service\n"},
    {FW_HEADER_AND_BASE "team,a b,1,1\r\n", "3 name a b\n"},
    {FW_HEADER_AND_BASE "\r\n\r\nteam,a,many,1\r\n", "5 rate many\n"},
    {FW_HEADER_AND_BASE "team,a,1.500,1\r\n", "3 rate 1.500\n"},
    {FW_HEADER_AND_BASE "team,a,\"1,5\",1\r\n", "3 rate 1,5\n"},
    {FW_HEADER_AND_BASE "team,a,-1,1\r\nteam,b,1,1e3\r\n",
     "3 rate -1\n4 burst 1e3\n"},
    {FW_HEADER_AND_BASE "team,a,9999999999999,1\r\n",
     "3 rate 9999999999999\n"},
    {FW_HEADER_AND_BASE "team,c,1,\r\n", "3 burst nothing\n"},
    {FW_HEADER_AND_BASE "team,a,1,1\r\nteam,a,2,2\r\n", "4 name a\n"},
    {FW_HEADER_AND_BASE "team,a,1,1,7\r\n", "3 (beyond the header) 7\n"},
    {FW_HEADER_AND_BASE "team,a,\"1,1\r\n",
     "3 (row) a quote that does not fit\n"},
    {FW_HEADER_AND_BASE "team,a,1,\xe9\r\n", "0 (file) not UTF-8\n"},
    {"kind,name,role\nsheet,3\nupstream,u,cook\n", "3 role \"cook\"\n"},
    {"kind,name,role\nsheet,3\nupstream,new,decode\n", "3 name new\n"},
    {"kind,name,role\nsheet,3\nteam,a,decode\n", "3 role decode\n"},
    {"kind,name,serves\nsheet,3\npool,p,m\n", "3 serves m\n"},
    {"kind,name,drained\nsheet,3\nupstream,u,maybe\n", "3 drained maybe\n"},
};

/* Guards against misreading delimiters, line ends and numbers, for instance a
 * thousands separator as a decimal point. */
START_TEST(sheets_of_different_spreadsheets_are_parsed)
{
    struct fw_rig *rig = create_rig();

    for (size_t i = 0; i < G_N_ELEMENTS(sheets); i++) {
        const struct sheet_case *c = &sheets[i];
        struct fw_sheet_plan *plan =
            Fw_Sheet_Plan(rig->replicas[0], c->text, strlen(c->text));
        char *got = summary(plan);

        ck_assert_msg(strcmp(got, c->result) == 0, "sheet %zu: %s", i, got);
        ck_assert_int_eq(plan->n_errors == 0,
                         strchr("=+~", c->result[0]) != NULL);
        json_node_unref(Fw_Sheet_Report(plan));
        g_free(got);
        Fw_Sheet_FreePlan(plan);
    }
    Fw_Rig_Free(rig);
}
END_TEST

START_TEST(importing_an_unedited_export_changes_nothing)
{
    struct fw_rig *rig = create_rig();
    char *text = Fw_Sheet_Export(Fw_ConfigReplica_Config(rig->replicas[0]));
    struct fw_sheet_plan *plan =
        Fw_Sheet_Plan(rig->replicas[0], text, strlen(text));

    ck_assert_uint_eq(plan->n_errors, 0);
    ck_assert_uint_eq(plan->n_changes, 0);
    ck_assert_uint_eq(plan->rows->len, 5);
    Fw_Sheet_FreePlan(plan);
    g_free(text);
    Fw_Rig_Free(rig);
}
END_TEST

struct conflict_case {
    const char *change; /* made by an operator after the export */
    const char *row;    /* of the imported sheet */
    const char *result;
};

#define FW_CHANGE_RECORD(items)                                               \
    "{\"v\":1,\"id\":\"x\",\"who\":\"bruno\",\"at\":\"t\",\"items\":[" items  \
    "]}"
#define FW_TEAM_A_ITEM(current_version, value)                                \
    "{\"kind\":\"team\",\"name\":\"a\",\"was\":" current_version              \
    ",\"value\":" value "}"
#define FW_KEY_ITEM(value)                                                    \
    "{\"kind\":\"key\",\"name\":\"" FW_KEY_DIGEST                             \
    "\",\"was\":3,\"value\":" value "}"

static const struct conflict_case conflicts[] = {
    /* an unedited row keeps the operator's change */
    {FW_CHANGE_RECORD(FW_TEAM_A_ITEM("1", "{\"rate\":5,\"burst\":20}")),
     "team,a,10,20,,", "=a\n"},
    {FW_CHANGE_RECORD(FW_TEAM_A_ITEM("1", "{\"rate\":5,\"burst\":20}")),
     "team,a,5,20,,", ""},
    {FW_CHANGE_RECORD(FW_TEAM_A_ITEM("1", "{\"rate\":5,\"burst\":20}")),
     "team,a,7,20,,", "3 name a, by bruno since\n"},
    {FW_CHANGE_RECORD(FW_TEAM_A_ITEM("1", "{\"rate\":5,\"burst\":20}")),
     "team,b,7,20,,", "~b\n"},
    {FW_CHANGE_RECORD(FW_TEAM_A_ITEM("1", "null")), "team,a,10,20,,", "=a\n"},
    {FW_CHANGE_RECORD("{\"kind\":\"team\",\"name\":\"c\",\"was\":0,\"value\":"
                      "{\"rate\":5,\"burst\":20}}"),
     "team,c,10,20,,", "3 name c, by bruno since\n"},
    /* a key withdrawn after the export stays withdrawn */
    {FW_CHANGE_RECORD(FW_KEY_ITEM("{\"team\":\"a\",\"withdrawn\":true}")),
     "key," FW_KEY_DIGEST ",,,a,no", "=" FW_KEY_DIGEST "\n"},
    {FW_CHANGE_RECORD(FW_KEY_ITEM("{\"team\":\"a\",\"withdrawn\":true}")),
     "key," FW_KEY_DIGEST ",,,a,yes", ""},
};

/* Guards against unedited rows reverting changes made after the export, such
 * as a lowered rate or a withdrawn key. */
START_TEST(changes_since_export_are_kept_or_reported)
{
    for (size_t i = 0; i < G_N_ELEMENTS(conflicts); i++) {
        const struct conflict_case *c = &conflicts[i];
        struct fw_rig *rig = create_rig();
        char *text = g_strdup_printf("kind,name,rate,burst,team,withdrawn\n"
                                     "sheet,3,,,,\n%s\n",
                                     c->row);
        struct fw_sheet_plan *plan;
        char *got;

        Fw_Rig_Append(&rig->config, c->change);
        Fw_Rig_Run(rig, FW_SEC);
        plan = Fw_Sheet_Plan(rig->replicas[0], text, strlen(text));
        got = summary(plan);
        ck_assert_msg(strcmp(got, c->result) == 0, "case %zu: %s", i, got);
        g_free(got);
        g_free(text);
        Fw_Sheet_FreePlan(plan);
        Fw_Rig_Free(rig);
    }
}
END_TEST

/* The sheet is exported after the withdrawal, then edited to undo it. */
START_TEST(withdrawn_keys_cannot_be_restored)
{
    struct fw_rig *rig = create_rig();
    const char *text =
        "kind,name,withdrawn\nsheet,4\nkey," FW_KEY_DIGEST ",no\n";
    struct fw_sheet_plan *plan;
    char *got;

    Fw_Rig_Append(&rig->config, FW_CHANGE_RECORD(FW_KEY_ITEM(
                                    "{\"team\":\"a\",\"withdrawn\":true}")));
    Fw_Rig_Run(rig, FW_SEC);
    plan = Fw_Sheet_Plan(rig->replicas[0], text, strlen(text));
    got = summary(plan);
    ck_assert_str_eq(got, "3 withdrawn no\n");
    g_free(got);
    Fw_Sheet_FreePlan(plan);
    Fw_Rig_Free(rig);
}
END_TEST

int
main(void)
{
    TCase *tc = Fw_Suite_New("sheet");

    tcase_set_timeout(tc, 60);
    tcase_add_test(tc, sheets_of_different_spreadsheets_are_parsed);
    tcase_add_test(tc, importing_an_unedited_export_changes_nothing);
    tcase_add_test(tc, changes_since_export_are_kept_or_reported);
    tcase_add_test(tc, withdrawn_keys_cannot_be_restored);
    return Fw_Suite_Run(tc);
}
