/* The operator API: authentication, commands and their verdicts, concurrent
 * changes, and failures of the configuration log. */
#include <check.h>
#include <string.h>

#include "tests/base/suite.h"
#include "tests/config/rig.h"

#define FW_TEAM_ITEM(name, was, rate)                                         \
    "{\"kind\":\"team\",\"name\":\"" name "\",\"was\":" was                   \
    ",\"value\":{\"rate\":" rate ",\"burst\":9}}"
#define FW_CHANGE_BODY(id, items) "{\"id\":\"" id "\",\"items\":[" items "]}"

/* Creates operators "anna" and "bruno" as version 1. */
static void
create_operators(struct fw_rig *rig)
{
    char anna[FW_DIGEST_HEX_SIZE];
    char bruno[FW_DIGEST_HEX_SIZE];
    char *text;

    Fw_Hash_KeyDigest("anna-key", anna);
    Fw_Hash_KeyDigest("bruno-key", bruno);
    text = g_strdup_printf(
        "{\"v\":1,\"id\":\"c0\",\"who\":\"setup\",\"at\":\"t\",\"items\":["
        "{\"kind\":\"operator\",\"name\":\"anna\",\"was\":0,"
        "\"value\":{\"digest\":\"%s\"}},"
        "{\"kind\":\"operator\",\"name\":\"bruno\",\"was\":0,"
        "\"value\":{\"digest\":\"%s\"}}]}",
        anna, bruno);
    Fw_Rig_Append(&rig->config, text);
    g_free(text);
    Fw_Rig_Run(rig, 3 * FW_SEC);
}

struct call_case {
    const char *method;
    const char *path;
    const char *key;
    const char *body;
    int status;
    const char *expected; /* substring of the body */
};

/* Calls made in this order to one instance. */
static const struct call_case calls[] = {
    {"GET", "/v1/version", NULL, NULL, 401, "not_an_operator"},
    {"GET", "/v1/version", "wrong", NULL, 401, "not_an_operator"},
    {"GET", "/v1/version", "anna-key", NULL, 200, "\"version\":1"},
    {"GET", "/v1/moon", "anna-key", NULL, 404, "not_found"},
    {"PUT", "/v1/change", "anna-key", NULL, 405, "GET, POST"},
    {"POST", "/v1/change", "anna-key", NULL, 400, "not a JSON object"},
    {"POST", "/v1/change", "anna-key", "{\"items\":", 400, "bad_request"},
    {"POST", "/v1/change", "anna-key", "{\"id\":7,\"items\":[]}", 400,
     "bad_request"},
    {"POST", "/v1/change", "anna-key", "{\"items\":[]}", 422, "no items"},
    {"POST", "/v1/change", "anna-key", "{\"items\":{}}", 422, "items"},
    {"POST", "/v1/change", "anna-key",
     FW_CHANGE_BODY("c1", FW_TEAM_ITEM("a", "0", "\"many\"")), 422, "rate is"},
    {"POST", "/v1/change", "anna-key",
     FW_CHANGE_BODY("c1", FW_TEAM_ITEM("a", "0", "5")), 200,
     "\"verdict\":\"accepted\",\"version\":2"},
    {"POST", "/v1/change", "anna-key",
     FW_CHANGE_BODY("c1", FW_TEAM_ITEM("a", "0", "5")), 200,
     "\"verdict\":\"accepted\",\"version\":2"},
    {"POST", "/v1/change", "bruno-key",
     FW_CHANGE_BODY("c2", FW_TEAM_ITEM("a", "0", "6")), 409,
     "in force is 2 by anna"},
    {"GET", "/v1/show/teams?name=a", "bruno-key", NULL, 200, "\"rate\":5"},
    {"GET", "/v1/show/teams?after=a", "bruno-key", NULL, 200, "\"rows\":[]"},
    {"GET", "/v1/show/config", "bruno-key", NULL, 200, "\"team\":1"},
    {"GET", "/v1/audit?who=bruno", "anna-key", NULL, 200,
     "\"verdict\":\"conflict\""},
    {"GET", "/v1/audit?name=a&max=1", "anna-key", NULL, 200, "\"offset\":3"},
    {"GET", "/v1/change?id=c2", "anna-key", NULL, 200, "conflict"},
    {"GET", "/v1/change?id=c9", "anna-key", NULL, 200, "unseen"},
    {"GET", "/v1/explain?id=r", "anna-key", NULL, 200, "\"rows\":[]"},
    {"POST", "/v1/change", "anna-key",
     FW_CHANGE_BODY("c3",
                    "{\"kind\":\"operator\",\"name\":\"bruno\",\"was\":1,"
                    "\"value\":null}"),
     200, "accepted"},
    {"GET", "/v1/version", "bruno-key", NULL, 401, "not_an_operator"},
    {"POST", "/v1/change", "anna-key",
     FW_CHANGE_BODY("c4", "{\"kind\":\"operator\",\"name\":\"anna\",\"was\":1,"
                          "\"value\":null}"),
     422, "no operator would be left"},
};

/* Guards against accepting unauthenticated, malformed or outdated calls. */
START_TEST(calls_return_expected_status_and_body)
{
    struct fw_rig *rig = Fw_Rig_New(1);

    create_operators(rig);
    for (size_t i = 0; i < G_N_ELEMENTS(calls); i++) {
        const struct call_case *c = &calls[i];
        const struct fw_rig_answer *a;

        Fw_Rig_Call(rig, 0, i, c->method, c->path, c->key, c->body);
        Fw_Rig_Run(rig, 200 * FW_MSEC);
        a = Fw_Rig_FindAnswer(rig, i);
        ck_assert_ptr_nonnull(a);
        ck_assert_msg(a->status == c->status && strstr(a->body, c->expected),
                      "call %zu: %d %s", i, a->status, a->body);
    }
    Fw_Rig_Free(rig);
}
END_TEST

/*
 * Two operators change the same team at the same time on two instances.
 * Guards against both being accepted and instances applying different rates.
 */
START_TEST(concurrent_changes_have_one_winner_on_all_instances)
{
    struct fw_rig *rig = Fw_Rig_New(9);
    const struct fw_rig_answer *a;
    const struct fw_rig_answer *b;

    create_operators(rig);
    for (int round = 0; round < 5; round++) {
        uint64_t first_call = 10 + (uint64_t)round * 2;
        /* The last record is the rejected change of the previous round, the
         * one before it the accepted change. */
        unsigned was = round == 0 ? 0 : rig->config.records->len - 1;
        char *body[2];

        for (int k = 0; k < 2; k++) {
            body[k] = g_strdup_printf(
                "{\"id\":\"c-%d-%d\",\"items\":[{\"kind\":\"team\","
                "\"name\":\"a\",\"was\":%u,\"value\":{\"rate\":%d,"
                "\"burst\":1}}]}",
                round, k, was, 100 * round + k);
        }
        Fw_Rig_Call(rig, 3, first_call, "POST", "/v1/change", "anna-key",
                    body[0]);
        Fw_Rig_Call(rig, 7, first_call + 1, "POST", "/v1/change", "bruno-key",
                    body[1]);
        Fw_Rig_Run(rig, FW_SEC);
        a = Fw_Rig_FindAnswer(rig, first_call);
        b = Fw_Rig_FindAnswer(rig, first_call + 1);
        ck_assert_int_eq(a->status, 200);
        ck_assert_int_eq(b->status, 409);
        ck_assert_ptr_nonnull(strstr(b->body, "by anna"));
        for (int i = 0; i < 9; i++) {
            ck_assert_int_eq(Fw_Rig_Rate(rig, i, "a"), 100L * round);
        }
        g_free(body[0]);
        g_free(body[1]);
    }
    for (int i = 1; i < 9; i++) {
        ck_assert(
            Fw_Config_Digest(Fw_ConfigReplica_Config(rig->replicas[i])) ==
            Fw_Config_Digest(Fw_ConfigReplica_Config(rig->replicas[0])));
    }
    Fw_Rig_Free(rig);
}
END_TEST

struct log_failure_case {
    const char *name;
    int lose_answer; /* the record is written, but the append fails */
    int lose_append; /* not written, the append fails with -EIO */
    int unavailable; /* not written, the append fails with -EAGAIN */
    int status;
    const char *expected;
    int retry_status; /* when the same id is sent again */
    int n_records;
};

static const struct log_failure_case log_failures[] = {
    {"answer lost", 1, 0, 0, 200, "accepted", 200, 2},
    {"append lost", 0, 1, 0, 504, "unknown", 200, 2},
    {"log down", 0, 0, 1, 503, "not_applied", 200, 2},
};

/*
 * Guards against reporting a change as applied when it was not, or the other
 * way round, and against applying it twice when it is retried.
 */
START_TEST(verdict_is_correct_when_append_or_answer_is_lost)
{
    for (size_t i = 0; i < G_N_ELEMENTS(log_failures); i++) {
        const struct log_failure_case *c = &log_failures[i];
        struct fw_rig *rig = Fw_Rig_New(2);
        const char *body = FW_CHANGE_BODY("c1", FW_TEAM_ITEM("a", "0", "5"));
        const struct fw_rig_answer *a;

        create_operators(rig);
        rig->lose_appends = c->lose_answer;
        rig->drop_appends = c->lose_append;
        rig->log_down = c->unavailable;
        Fw_Rig_Call(rig, 0, 1, "POST", "/v1/change", "anna-key", body);
        Fw_Rig_Run(rig, 10 * FW_SEC);
        a = Fw_Rig_FindAnswer(rig, 1);
        ck_assert_ptr_nonnull(a);
        ck_assert_msg(a->status == c->status && strstr(a->body, c->expected),
                      "%s: %d %s", c->name, a->status, a->body);
        rig->log_down = 0;
        Fw_Rig_Run(rig, 10 * FW_SEC);
        Fw_Rig_Call(rig, 1, 2, "POST", "/v1/change", "anna-key", body);
        Fw_Rig_Run(rig, 2 * FW_SEC);
        ck_assert_int_eq(Fw_Rig_FindAnswer(rig, 2)->status, c->retry_status);
        ck_assert_uint_eq(rig->config.records->len, c->n_records);
        ck_assert_int_eq(Fw_Rig_Rate(rig, 0, "a"), 5);
        ck_assert_int_eq(Fw_Rig_Rate(rig, 1, "a"), 5);
        Fw_Rig_Free(rig);
    }
}
END_TEST

/* When the ring buffer is full, the oldest rows are evicted whichever request
 * they belong to, and the remaining rows stay in order. */
START_TEST(explain_keeps_newest_rows_in_order)
{
    struct fw_explain *ex = Fw_Explain_New();
    const struct fw_explain_row *row;
    unsigned at = 0;
    int n = 0;

    for (int i = 0; i < FW_EXPLAIN_ROWS + 10; i++) {
        Fw_Explain_Add(ex, i % 2 ? "odd" : "even", i, "pair", "row %d", i);
    }
    while ((row = Fw_Explain_Next(ex, "odd", &at))) {
        ck_assert_int_eq(row->at_us, 11 + n * 2);
        n++;
    }
    ck_assert_int_eq(n, FW_EXPLAIN_ROWS / 2);
    Fw_Explain_Add(NULL, "x", 0, "pair", "nothing");
    Fw_Explain_Free(ex);
}
END_TEST

int
main(void)
{
    TCase *tc = Fw_Suite_New("operate");

    tcase_set_timeout(tc, 60);
    tcase_add_test(tc, calls_return_expected_status_and_body);
    tcase_add_test(tc, concurrent_changes_have_one_winner_on_all_instances);
    tcase_add_test(tc, verdict_is_correct_when_append_or_answer_is_lost);
    tcase_add_test(tc, explain_keeps_newest_rows_in_order);
    return Fw_Suite_Run(tc);
}
