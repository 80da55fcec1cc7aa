/* Fuzz tests of parsers with randomly mutated input, from fixed seeds. */
#include <check.h>
#include <errno.h>
#include <string.h>

#include "config/snapshot.h"
#include "core/msg.h"
#include "operate/sheet.h"
#include "rig.h"
#include "tests/base/suite.h"

#define MUTATIONS 3000

static const char record[] =
    "{\"v\":1,\"id\":\"c1\",\"who\":\"anna\",\"at\":\"t\",\"base\":0,"
    "\"items\":[{\"kind\":\"team\",\"name\":\"a\",\"was\":0,\"value\":"
    "{\"rate\":1,\"burst\":2,\"priority\":3,\"models\":[\"m\",\"n+a\"]}},"
    "{\"kind\":\"key\",\"name\":\"00000000000000000000000000000000"
    "00000000000000000000000000000000\",\"was\":0,\"value\":{\"team\":\"a\","
    "\"withdrawn\":false}},{\"kind\":\"upstream\",\"name\":\"u\",\"was\":0,"
    "\"value\":{\"pool\":\"p\",\"url\":\"http://h\",\"role\":\"decode\","
    "\"links\":[{\"domain\":\"d\",\"bytes_per_s\":9}]}},{\"kind\":\"pool\","
    "\"name\":\"p\",\"was\":0,\"value\":{\"serves\":[{\"model\":\"m\","
    "\"version\":\"1\"}]}},{\"kind\":\"service\",\"name\":\"s\",\"was\":0,"
    "\"value\":{\"calls\":[{\"method\":\"GET\",\"path\":\"/a\","
    "\"idempotent\":true}]}},{\"kind\":\"setting\",\"name\":\"on-withdraw\","
    "\"was\":0,\"value\":{\"value\":\"cut\"}}]}";

/* Overwrites, duplicates or deletes bytes, one to four times. */
static char *
mutate(GRand *rand, const char *text)
{
    GString *s = g_string_new(text);
    int n = g_rand_int_range(rand, 1, 5);

    while (n-- > 0 && s->len > 2) {
        gint32 at = g_rand_int_range(rand, 0, (gint32)s->len);
        gint32 len =
            g_rand_int_range(rand, 0, (gint32)MIN(s->len - (gsize)at, 40) + 1);
        char *piece;

        switch (g_rand_int_range(rand, 0, 3)) {
        case 0:
            s->str[at] = (char)g_rand_int_range(rand, 1, 256);
            break;
        case 1:
            piece = g_strndup(s->str + at, (gsize)len);
            g_string_insert(s, at, piece);
            g_free(piece);
            break;
        default:
            g_string_erase(s, at, len);
            break;
        }
    }
    return g_string_free(s, FALSE);
}

/* A record that stops a replica would stop all of them, at each restart. */
START_TEST(mutated_records_get_a_verdict)
{
    GRand *rand = g_rand_new_with_seed(1);
    struct fw_config_state *st = Fw_ConfigState_New();
    struct fw_change_result res;

    for (int i = 0; i < MUTATIONS; i++) {
        char *text = mutate(rand, record);

        Fw_ConfigState_Apply(st, text, &res);
        ck_assert_uint_eq(st->cfg->next_offset, i + 2);
        g_free(text);
    }
    Fw_ConfigState_Free(st);
    g_rand_free(rand);
}
END_TEST

/* Deeply nested JSON must not overflow the parser's stack. */
START_TEST(deeply_nested_records_are_invalid)
{
    struct fw_config_state *st = Fw_ConfigState_New();
    struct fw_change_result res;
    static const char *const heads[] = {"", "{\"a\":"};

    for (size_t i = 0; i < G_N_ELEMENTS(heads); i++) {
        GString *text = g_string_new(heads[i]);

        for (int k = 0; k < 1000000; k++) {
            g_string_append_c(text, '[');
        }
        Fw_ConfigState_Apply(st, text->str, &res);
        ck_assert_int_eq(res.verdict, FW_CHANGE_INVALID);
        g_string_free(text, TRUE);
    }
    Fw_ConfigState_Free(st);
}
END_TEST

/* A corrupt snapshot part must not yield a state other than the written one.
 */
START_TEST(mutated_snapshots_yield_no_other_state)
{
    GRand *rand = g_rand_new_with_seed(2);
    struct fw_config_state *st = Fw_ConfigState_New();
    struct fw_change_result res;
    struct fw_snapshot *snap;
    const char *part;

    Fw_ConfigState_Apply(st, record, &res);
    ck_assert_int_eq(res.verdict, FW_CHANGE_ACCEPTED);
    snap = Fw_Snapshot_Write(st, "s-1");
    part = g_ptr_array_index(snap->parts, 0);
    for (int i = 0; i < MUTATIONS; i++) {
        struct fw_snapshot_assembler c = {.feeds = 0};
        struct fw_config_state *got = NULL;
        char *text = mutate(rand, part);

        Fw_Snapshot_Feed(&c, text, &got, NULL);
        if (got) {
            ck_assert(Fw_ConfigState_Digest(got) == Fw_ConfigState_Digest(st));
        }
        Fw_ConfigState_Free(got);
        Fw_Snapshot_Reset(&c);
        g_free(text);
    }
    Fw_Snapshot_Free(snap);
    Fw_ConfigState_Free(st);
    g_rand_free(rand);
}
END_TEST

/* Planning from a corrupt sheet must not crash. */
START_TEST(mutated_sheets_yield_errors_or_a_plan)
{
    GRand *rand = g_rand_new_with_seed(3);
    struct fw_rig *rig = Fw_Rig_New(1);
    char *sheet;

    Fw_Rig_Append(&rig->config, record);
    Fw_Rig_Run(rig, 3 * FW_SEC);
    sheet = Fw_Sheet_Export(Fw_ConfigReplica_Config(rig->replicas[0]));
    for (int i = 0; i < MUTATIONS; i++) {
        char *text = mutate(rand, sheet);
        struct fw_sheet_plan *plan =
            Fw_Sheet_Plan(rig->replicas[0], text, strlen(text));

        json_node_unref(Fw_Sheet_Report(plan));
        Fw_Sheet_FreePlan(plan);
        g_free(text);
    }
    g_free(sheet);
    Fw_Rig_Free(rig);
    g_rand_free(rand);
}
END_TEST

/** struct message_case - bytes of a message and whether it can be read. */
struct message_case {
    const char *bytes;
    size_t len;
    int ok;
};

/* [6, [kind, ...]]; area 6 is the configuration. */
static const struct message_case messages[] = {
    {"\x92\x06\x91\x00", 4, 1},             /* up to date */
    {"\x92\x06\x94\x01\x05\xa0\x00", 7, 1}, /* part request */
    {"\x92\x06\x92\x02\xa1x", 6, 1},        /* part */
    {"\x92\x06\x91\x01", 4, 0},             /* part request without members */
    {"\x92\x06\x94\x01\xff\xa0\x00", 7, 0}, /* negative offset */
    {"\x92\x06\x94\x01\x05\xa0\xff", 7, 0}, /* negative part index */
    {"\x92\x06\x94\x01\x05\x00\x00", 7, 0}, /* snapshot id is a number */
    {"\x92\x06\x91\x02", 4, 0},             /* part without text */
    {"\x92\x06\x92\x02\x07", 5, 0},         /* text is a number */
    {"\x92\x06\x92\x02\xa2x\x00", 7, 0},    /* NUL in the text */
    {"\x92\x06\x91\x09", 4, 0},             /* unknown kind */
    {"\x92\x06\x91\xa1x", 5, 0},            /* kind is a string */
    {"\x92\x06\x90", 3, 0},                 /* empty */
    {"\x92\x06\x07", 3, 0},                 /* not an array */
};

/* Messages from a peer are untrusted; malformed ones are rejected. */
START_TEST(malformed_messages_are_rejected)
{
    for (size_t i = 0; i < G_N_ELEMENTS(messages); i++) {
        const struct message_case *c = &messages[i];
        msgpack_unpacked u;
        struct fw_msg msg;
        int rc;

        msgpack_unpacked_init(&u);
        ck_assert_int_eq(msgpack_unpack_next(&u, c->bytes, c->len, NULL),
                         MSGPACK_UNPACK_SUCCESS);
        rc = Fw_Msg_Unpack(&u.data, &msg);
        ck_assert_msg((rc == 0) == c->ok, "message %zu: %d", i, rc);
        if (rc == 0) {
            Fw_Msg_Clear(&msg);
        }
        msgpack_unpacked_destroy(&u);
    }
}
END_TEST

int
main(void)
{
    TCase *tc = Fw_Suite_New("mutation");

    tcase_set_timeout(tc, 60);
    tcase_add_test(tc, mutated_records_get_a_verdict);
    tcase_add_test(tc, deeply_nested_records_are_invalid);
    tcase_add_test(tc, mutated_snapshots_yield_no_other_state);
    tcase_add_test(tc, mutated_sheets_yield_errors_or_a_plan);
    tcase_add_test(tc, malformed_messages_are_rejected);
    return Fw_Suite_Run(tc);
}
