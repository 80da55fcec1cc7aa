#include "tests/base/suite.h"

static Suite *suite;

TCase *
Fw_Suite_New(const char *name)
{
    TCase *tc = tcase_create(name);

    suite = suite_create(name);
    suite_add_tcase(suite, tc);
    return tc;
}

int
Fw_Suite_Run(TCase *tc)
{
    SRunner *sr = srunner_create(suite);
    int failed;

    (void)tc;
    srunner_run_all(sr, CK_ENV);
    failed = srunner_ntests_failed(sr);
    srunner_free(sr);
    return failed != 0;
}
