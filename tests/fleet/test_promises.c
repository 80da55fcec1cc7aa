/* Each promise's check must find the fault planted for it. */
#include <check.h>

#include "base/fault.h"
#include "explore/explore.h"
#include "tests/base/suite.h"

#define SEEDS 60
#define STEPS 400

START_TEST(planted_fault_is_found)
{
    const struct fw_property *p = &Fw_Properties[_i];
    GString *report = g_string_new(NULL);
    int found = 0;

    Fw_Fault_Active = p->fault;
    for (guint32 seed = 1; seed <= SEEDS && !found; seed++) {
        found = Fw_Property_Run(p, seed, STEPS, report);
    }
    Fw_Fault_Active = NULL;
    ck_assert_msg(found, "%s held although %s was planted", p->name, p->fault);
    ck_assert_ptr_nonnull(strstr(report->str, "seed"));
    g_string_free(report, TRUE);
}
END_TEST

static int
count_promises(void)
{
    int n = 0;

    while (Fw_Properties[n].name) {
        n++;
    }
    return n;
}

int
main(void)
{
    TCase *tc = Fw_Suite_New("promises");

    tcase_set_timeout(tc, 60);
    tcase_add_loop_test(tc, planted_fault_is_found, 0, count_promises());
    return Fw_Suite_Run(tc);
}
