/* Servers that say in their responses that they are about to shut down. */
#include <check.h>

#include "http/conn.h"
#include "tests/base/suite.h"
#include "tests/relayd/relay_fleet_env.h"

/* Time for all instances to have received a response of the server. */
#define FW_NOTICE_US (500 * FW_MSEC)
/* Time after which a server that leaves may be gone. */
#define FW_DRAIN_US (2 * FW_SEC)

/* Guards against requests that are lost with a server that has said it goes.
 */
START_TEST(a_server_that_says_it_leaves_gets_no_new_requests)
{
    struct relay_fleet_env env;
    int64_t said_us;

    Fw_RelayFleetEnv_Init(&env, FW_ENV_ROUTERS);
    Fw_RelayFleetEnv_Load(&env, FW_SEC);
    Fw_WireServer_SetLeaving(env.servers[0]);
    said_us = Fw_Conn_NowUs();
    Fw_RelayFleetEnv_Load(&env, 4 * FW_SEC);
    ck_assert_int_eq(
        Fw_WireServer_ArrivedCount(
            env.servers[0], said_us + FW_NOTICE_US + FW_DRAIN_US, INT64_MAX),
        0);
    ck_assert_int_eq(env.n_rejected, 0);
    ck_assert_int_eq(env.n_served, env.n_sent);
    Fw_RelayFleetEnv_Free(&env);
}
END_TEST

int
main(void)
{
    TCase *tc = Fw_Suite_New("server leaving");

    tcase_set_timeout(tc, 60);
    tcase_add_test(tc, a_server_that_says_it_leaves_gets_no_new_requests);
    return Fw_Suite_Run(tc);
}
