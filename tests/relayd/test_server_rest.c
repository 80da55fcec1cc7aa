/* Servers that reject requests and ask for rest. */
#include <check.h>

#include "http/conn.h"
#include "tests/base/suite.h"
#include "tests/relayd/relay_fleet_env.h"

/* Time for an instance to keep what a response has told it. */
#define FW_NOTICE_US (500 * FW_MSEC)
#define FW_REST "3"
#define FW_REST_US (3 * FW_SEC)
#define FW_MAX_DURING_REST 2

/* Guards against a server at rest that is preferred for its quick rejections.
 */
START_TEST(a_server_gets_the_rest_it_asks_for)
{
    struct relay_fleet_env env;
    int64_t since_us;

    Fw_RelayFleetEnv_Init(&env, 1);
    Fw_RelayFleetEnv_Load(&env, FW_SEC);
    Fw_WireServer_SetRest(env.servers[0], FW_REST);
    since_us = Fw_Conn_NowUs();
    Fw_RelayFleetEnv_Load(&env, 7 * FW_SEC);
    ck_assert_int_le(Fw_WireServer_MostArrivedAfter(env.servers[0], since_us,
                                                    FW_NOTICE_US, FW_REST_US),
                     FW_MAX_DURING_REST);
    ck_assert_int_eq(env.n_rejected, 0);
    ck_assert_int_eq(env.n_served, env.n_sent);
    Fw_RelayFleetEnv_Free(&env);
}
END_TEST

int
main(void)
{
    TCase *tc = Fw_Suite_New("server rest");

    tcase_set_timeout(tc, 60);
    tcase_add_test(tc, a_server_gets_the_rest_it_asks_for);
    return Fw_Suite_Run(tc);
}
