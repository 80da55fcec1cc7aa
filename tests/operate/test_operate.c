/* The operators' interface: who may ask, commands and their verdicts, two
 * operators at once, and a log that loses answers. */
#include <check.h>
#include <string.h>

#include "tests/base/suite.h"
#include "tests/config/rig.h"

#define FW_TEAM(name, was, rate)                                              \
    "{\"kind\":\"team\",\"name\":\"" name "\",\"was\":" was                   \
    ",\"value\":{\"rate\":" rate ",\"burst\":9}}"
#define FW_BODY(id, items) "{\"id\":\"" id "\",\"items\":[" items "]}"

/* Two operators, whose keys are "anna" and "bruno"; version 1. */
static void
give_operators(struct fw_rig *rig)
{
    char anna[FW_DIGEST_HEX];
    char bruno[FW_DIGEST_HEX];
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
    const char *holds; /* part of the answer */
};

/* One after the other on one instance. */
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
     FW_BODY("c1", FW_TEAM("a", "0", "\"many\"")), 422, "rate is"},
    {"POST", "/v1/change", "anna-key", FW_BODY("c1", FW_TEAM("a", "0", "5")),
     200, "\"verdict\":\"accepted\",\"version\":2"},
    {"POST", "/v1/change", "anna-key", FW_BODY("c1", FW_TEAM("a", "0", "5")),
     200, "\"verdict\":\"accepted\",\"version\":2"},
    {"POST", "/v1/change", "bruno-key", FW_BODY("c2", FW_TEAM("a", "0", "6")),
     409, "in force is 2 by anna"},
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
     FW_BODY("c3", "{\"kind\":\"operator\",\"name\":\"bruno\",\"was\":1,"
                   "\"value\":null}"),
     200, "accepted"},
    {"GET", "/v1/version", "bruno-key", NULL, 401, "not_an_operator"},
    {"POST", "/v1/change", "anna-key",
     FW_BODY("c4", "{\"kind\":\"operator\",\"name\":\"anna\",\"was\":1,"
                   "\"value\":null}"),
     422, "no operator would be left"},
};

/* A stranger, a typing error, a change made on an old version: operators
 * would notice a wrong answer as a change that nobody made. */
START_TEST(each_call_gets_its_answer)
{
    struct fw_rig *rig = Fw_Rig_New(1);

    give_operators(rig);
    for (size_t i = 0; i < G_N_ELEMENTS(calls); i++) {
        const struct call_case *c = &calls[i];
        const struct fw_rig_answer *a;

        Fw_Rig_Call(rig, 0, i, c->method, c->path, c->key, c->body);
        Fw_Rig_Run(rig, 200 * FW_MSEC);
        a = Fw_Rig_Answer(rig, i);
        ck_assert_ptr_nonnull(a);
        ck_assert_msg(a->status == c->status && strstr(a->body, c->holds),
                      "call %zu: %d %s", i, a->status, a->body);
    }
    Fw_Rig_Free(rig);
}
END_TEST

/*
 * Two operators change one team in the same moment, each at another instance.
 * Without one verdict for all, both would believe in their own rate, and the
 * instances would grant different ones.
 */
START_TEST(two_operators_race_on_nine_instances)
{
    struct fw_rig *rig = Fw_Rig_New(9);
    const struct fw_rig_answer *a;
    const struct fw_rig_answer *b;

    give_operators(rig);
    for (int round = 0; round < 5; round++) {
        uint64_t calls_at = 10 + (uint64_t)round * 2;
        unsigned was =
            round == 0 ? 0 : rig->config.records->len - 1; /* the winner's */
        char *body[2];

        for (int k = 0; k < 2; k++) {
            body[k] = g_strdup_printf(
                "{\"id\":\"c-%d-%d\",\"items\":[{\"kind\":\"team\","
                "\"name\":\"a\",\"was\":%u,\"value\":{\"rate\":%d,"
                "\"burst\":1}}]}",
                round, k, was, 100 * round + k);
        }
        Fw_Rig_Call(rig, 3, calls_at, "POST", "/v1/change", "anna-key",
                    body[0]);
        Fw_Rig_Call(rig, 7, calls_at + 1, "POST", "/v1/change", "bruno-key",
                    body[1]);
        Fw_Rig_Run(rig, FW_SEC);
        a = Fw_Rig_Answer(rig, calls_at);
        b = Fw_Rig_Answer(rig, calls_at + 1);
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
        ck_assert(Fw_Config_Digest(Fw_Fold_Config(rig->folds[i])) ==
                  Fw_Config_Digest(Fw_Fold_Config(rig->folds[0])));
    }
    Fw_Rig_Free(rig);
}
END_TEST

struct loss_case {
    const char *name;
    int lose; /* the append takes effect, its answer is lost */
    int drop; /* neither */
    int down; /* the log refuses */
    int status;
    const char *holds;
    int again; /* status when the same id is sent again */
    int records;
};

static const struct loss_case losses[] = {
    {"answer lost", 1, 0, 0, 200, "accepted", 200, 2},
    {"append lost", 0, 1, 0, 504, "unknown", 200, 2},
    {"log down", 0, 0, 1, 503, "not_applied", 200, 2},
};

/*
 * The log takes a record but its answer is lost, or loses the record, or is
 * down. An operator who is told a lie gives the key twice, or believes that
 * one was withdrawn which still works.
 */
START_TEST(the_verdict_is_true_when_the_log_loses_answers)
{
    for (size_t i = 0; i < G_N_ELEMENTS(losses); i++) {
        const struct loss_case *c = &losses[i];
        struct fw_rig *rig = Fw_Rig_New(2);
        const char *body = FW_BODY("c1", FW_TEAM("a", "0", "5"));
        const struct fw_rig_answer *a;

        give_operators(rig);
        rig->lose_appends = c->lose;
        rig->drop_appends = c->drop;
        rig->down = c->down;
        Fw_Rig_Call(rig, 0, 1, "POST", "/v1/change", "anna-key", body);
        Fw_Rig_Run(rig, 10 * FW_SEC);
        a = Fw_Rig_Answer(rig, 1);
        ck_assert_ptr_nonnull(a);
        ck_assert_msg(a->status == c->status && strstr(a->body, c->holds),
                      "%s: %d %s", c->name, a->status, a->body);
        rig->down = 0;
        Fw_Rig_Run(rig, 10 * FW_SEC);
        Fw_Rig_Call(rig, 1, 2, "POST", "/v1/change", "anna-key", body);
        Fw_Rig_Run(rig, 2 * FW_SEC);
        ck_assert_int_eq(Fw_Rig_Answer(rig, 2)->status, c->again);
        ck_assert_uint_eq(rig->config.records->len, c->records);
        ck_assert_int_eq(Fw_Rig_Rate(rig, 0, "a"), 5);
        ck_assert_int_eq(Fw_Rig_Rate(rig, 1, "a"), 5);
        Fw_Rig_Free(rig);
    }
}
END_TEST

/* The ring of decisions is bounded: the oldest rows go, of no one request
 * more than of another, and what is left is in order. */
START_TEST(explain_keeps_the_newest_in_order)
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
    tcase_add_test(tc, each_call_gets_its_answer);
    tcase_add_test(tc, two_operators_race_on_nine_instances);
    tcase_add_test(tc, the_verdict_is_true_when_the_log_loses_answers);
    tcase_add_test(tc, explain_keeps_the_newest_in_order);
    return Fw_Suite_Run(tc);
}
