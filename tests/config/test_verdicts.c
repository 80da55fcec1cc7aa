/* Verdicts on single records of the configuration log. */
#include <check.h>

#include "config/replica.h"
#include "tests/base/suite.h"

#define FW_REC(id, items)                                                     \
    "{\"v\":1,\"id\":\"" id                                                   \
    "\",\"who\":\"anna\",\"at\":\"t\",\"items\":[" items "]}"
#define FW_TEAM(name, was, rate)                                              \
    "{\"kind\":\"team\",\"name\":\"" name "\",\"was\":" was                   \
    ",\"value\":{\"rate\":" rate ",\"burst\":9}}"

struct verdict_case {
    const char *record;
    const char *verdict;
    int64_t rate_after; /* of team a, -1 if it doesn't exist */
};

static const struct verdict_case verdicts[] = {
    {FW_REC("1", FW_TEAM("a", "0", "5")), "accepted", 5},
    {FW_REC("1", FW_TEAM("a", "1", "6")), "duplicate", 5},
    {FW_REC("2", FW_TEAM("a", "0", "6")), "conflict", 5},
    {FW_REC("3", FW_TEAM("a", "1", "7")), "accepted", 7},
    {FW_REC("4", FW_TEAM("a", "4", "8") "," FW_TEAM("b", "9", "8")),
     "conflict", 7},
    {FW_REC("5", FW_TEAM("a", "4", "-1")), "invalid", 7},
    {FW_REC("6", FW_TEAM("a", "4", "1.5")), "invalid", 7},
    {FW_REC("7", FW_TEAM("a", "4", "1") "," FW_TEAM("a", "4", "2")), "invalid",
     7},
    {FW_REC("8", "{\"kind\":\"moon\",\"name\":\"a\",\"was\":0,"
                 "\"value\":{}}"),
     "invalid", 7},
    {"", "invalid", 7},
    {"[]", "invalid", 7},
    {"{\"v\":1,", "invalid", 7},
    {"\xff\xfe", "invalid", 7},
    {"{\"v\":2,\"id\":\"9\",\"who\":\"a\",\"at\":\"t\",\"items\":[]}",
     "invalid", 7},
    {FW_REC("10", "{\"kind\":\"team\",\"name\":\"a\",\"was\":4,"
                  "\"value\":null}"),
     "accepted", -1},
};

/*
 * Guards against wrong values from conflicting, repeated or malformed records,
 * and against replicas that stop at one.
 */
START_TEST(records_get_their_verdicts)
{
    struct fw_config_state *st = Fw_ConfigState_New();
    struct fw_change_result res;

    for (size_t i = 0; i < G_N_ELEMENTS(verdicts); i++) {
        const struct verdict_case *c = &verdicts[i];
        const struct fw_team *team;

        Fw_ConfigState_Apply(st, c->record, &res);
        ck_assert_msg(!strcmp(Fw_Change_VerdictName(res.verdict), c->verdict),
                      "record %zu: %s (%s)", i + 1,
                      Fw_Change_VerdictName(res.verdict), res.error.text);
        team = Fw_Config_FindTeam(st->cfg, "a");
        ck_assert_int_eq(team ? team->rate : -1, c->rate_after);
        ck_assert_uint_eq(st->cfg->next_offset, i + 2);
        ck_assert_uint_eq(st->audit.n, i + 1);
    }
    Fw_ConfigState_Free(st);
}
END_TEST

int
main(void)
{
    TCase *tc = Fw_Suite_New("verdicts");

    tcase_add_test(tc, records_get_their_verdicts);
    return Fw_Suite_Run(tc);
}
