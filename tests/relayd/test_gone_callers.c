/* Requests that are read when their callers have gone already. */
#include <check.h>

#include "relayd/relayd_internal.h"
#include "tests/base/suite.h"
#include "tests/relayd/router_env.h"

static int
count_starts(const struct router_env *env)
{
    return Fw_WireServer_StartedCount(env->s1) +
           Fw_WireServer_StartedCount(env->s2);
}

/*
 * Guards against running what a process finds in its sockets after a pause,
 * whose callers have given up.
 */
START_TEST(a_request_whose_caller_has_closed_is_not_run)
{
    struct router_env env;
    struct rig_conn *kept;

    Fw_RouterEnv_InitAndStart(&env);
    kept = Fw_RouterEnv_SendRequest(&env, "POST /order/x", "");
    Fw_RigConn_Expect(kept, "the answer");
    Fw_RigConn_Close(Fw_RouterEnv_SendRequest(&env, "POST /order/x", ""));
    Fw_RigConn_Send(kept,
                    "POST /order/x HTTP/1.1\r\nHost: demo.example\r\n"
                    "Authorization: Bearer k1\r\nRequest-Id: r2\r\n\r\n",
                    -1);
    Fw_RigConn_Close(kept);
    kept = Fw_RouterEnv_SendRequest(&env, "POST /order/x", "");
    Fw_RigConn_Expect(kept, "the answer");
    ck_assert_int_eq(count_starts(&env), 2);
    Fw_RigConn_Close(kept);
    Fw_RouterEnv_Free(&env);
}
END_TEST

int
main(void)
{
    TCase *tc = Fw_Suite_New("callers that are gone");

    tcase_set_timeout(tc, 30);
    tcase_add_test(tc, a_request_whose_caller_has_closed_is_not_run);
    return Fw_Suite_Run(tc);
}
