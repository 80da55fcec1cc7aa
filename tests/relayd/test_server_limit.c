/* Servers that name the rate that they take from all instances together. */
#include <check.h>

#include "http/conn.h"
#include "tests/base/suite.h"
#include "tests/relayd/relay_fleet_env.h"

#define FW_WINDOW_US (4 * FW_SEC)
/* Time for the instances that have received the limit to keep it. */
#define FW_NOTICE_US (500 * FW_MSEC)
#define FW_LIMIT "3.1"
/* One and a half times what the limit allows in the window, and 5. */
#define FW_MAX_IN_WINDOW 23

/* Guards against a server in need that is sent its usual share of requests. */
START_TEST(a_server_gets_no_more_than_the_limit_it_names)
{
    struct relay_fleet_env env;
    int64_t named_us;

    Fw_RelayFleetEnv_Init(&env, FW_ENV_ROUTERS);
    Fw_RelayFleetEnv_Load(&env, FW_SEC);
    Fw_WireServer_SetLimit(env.servers[0], FW_LIMIT);
    named_us = Fw_Conn_NowUs();
    Fw_RelayFleetEnv_Load(&env, 6 * FW_SEC);
    ck_assert_int_le(Fw_WireServer_MostArrived(env.servers[0],
                                               named_us + FW_NOTICE_US,
                                               FW_WINDOW_US),
                     FW_MAX_IN_WINDOW);
    ck_assert_int_eq(env.n_rejected, 0);
    ck_assert_int_eq(env.n_served, env.n_sent);
    Fw_RelayFleetEnv_Free(&env);
}
END_TEST

int
main(void)
{
    TCase *tc = Fw_Suite_New("server limits");

    tcase_set_timeout(tc, 60);
    tcase_add_test(tc, a_server_gets_no_more_than_the_limit_it_names);
    return Fw_Suite_Run(tc);
}
