/* Rest that a server asks for when it rejects a request. */
#include <check.h>

#include "base/limits.h"
#include "decide/server_rest.h"
#include "tests/base/suite.h"

START_TEST(a_server_at_rest_is_sent_nothing)
{
    struct fw_server_rest r = {0};

    ck_assert_int_eq(Fw_ServerRest_AvailableUs(&r, 5 * FW_SEC), 5 * FW_SEC);
    Fw_ServerRest_NoteRejected(&r, 3 * FW_SEC, 10 * FW_SEC);
    ck_assert_int_eq(Fw_ServerRest_AvailableUs(&r, 10 * FW_SEC), 13 * FW_SEC);
    ck_assert_int_eq(Fw_ServerRest_IsOver(&r, 13 * FW_SEC - 1), 0);
    ck_assert_int_eq(Fw_ServerRest_IsOver(&r, 13 * FW_SEC), 1);
}
END_TEST

/* Guards against a later, shorter rest that ends an earlier one. */
START_TEST(the_longest_rest_holds)
{
    struct fw_server_rest r = {0};

    Fw_ServerRest_NoteRejected(&r, 3 * FW_SEC, 10 * FW_SEC);
    Fw_ServerRest_NoteRejected(&r, FW_MSEC, 11 * FW_SEC);
    ck_assert_int_eq(Fw_ServerRest_AvailableUs(&r, 11 * FW_SEC), 13 * FW_SEC);
    Fw_ServerRest_NoteRejected(&r, 3 * FW_SEC, 12 * FW_SEC);
    ck_assert_int_eq(Fw_ServerRest_AvailableUs(&r, 12 * FW_SEC), 15 * FW_SEC);
}
END_TEST

/* Guards against a burst of requests that a server still rejects. */
START_TEST(single_requests_are_sent_until_one_is_accepted)
{
    struct fw_server_rest r = {0};

    Fw_ServerRest_NoteRejected(&r, FW_SEC, 10 * FW_SEC);
    Fw_ServerRest_NoteAccepted(&r, 10500 * FW_MSEC);
    Fw_ServerRest_NoteSent(&r, 11 * FW_SEC);
    ck_assert_int_eq(Fw_ServerRest_AvailableUs(&r, 11 * FW_SEC),
                     11200 * FW_MSEC);
    Fw_ServerRest_NoteAccepted(&r, 11100 * FW_MSEC);
    ck_assert_int_eq(Fw_ServerRest_AvailableUs(&r, 11100 * FW_MSEC),
                     11100 * FW_MSEC);
    Fw_ServerRest_NoteSent(&r, 11100 * FW_MSEC);
    ck_assert_int_eq(Fw_ServerRest_AvailableUs(&r, 11100 * FW_MSEC),
                     11100 * FW_MSEC);
}
END_TEST

int
main(void)
{
    TCase *tc = Fw_Suite_New("rest of servers");

    tcase_add_test(tc, a_server_at_rest_is_sent_nothing);
    tcase_add_test(tc, the_longest_rest_holds);
    tcase_add_test(tc, single_requests_are_sent_until_one_is_accepted);
    return Fw_Suite_Run(tc);
}
