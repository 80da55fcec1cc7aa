/* Requests that are still open when an instance has to end. */
#include <check.h>
#include <string.h>

#include "relayd/relayd_internal.h"
#include "tests/base/suite.h"
#include "tests/relayd/router_env.h"

#define FW_GRACE_US (3 * FW_SEC)

static int
is_stopped(void *ctx)
{
    return Fw_Relayd_IsStopped(((struct router_env *)ctx)->router);
}

static int
is_running(void *ctx)
{
    const struct router_env *env = ctx;

    return Fw_WireServer_ActiveCount(env->s1) +
               Fw_WireServer_ActiveCount(env->s2) ==
           1;
}

/* Guards against callers who take a request that ran for one left unread. */
START_TEST(a_request_that_outlasts_the_stop_is_answered)
{
    struct router_env env;
    struct rig_conn *c;

    Fw_RouterEnv_Init(&env);
    env.opts.relay.grace_us = FW_GRACE_US;
    Fw_RouterEnv_StartRouter(&env);
    Fw_WireServer_SetFault(env.s1, FW_WIRE_FAULT_STALL, 9);
    Fw_WireServer_SetFault(env.s2, FW_WIRE_FAULT_STALL, 9);
    c = Fw_RouterEnv_SendRequest(&env, "POST /order/x", "");
    Fw_Rig_RunUntil(is_running, &env);
    Fw_Relayd_Drain(env.router);
    Fw_Rig_RunUntil(is_stopped, &env);
    Fw_Rig_Settle();
    ck_assert_msg(g_str_has_prefix(c->received->str, "HTTP/1.1 502 "), "%s",
                  c->received->str);
    ck_assert_ptr_nonnull(strstr(c->received->str, "Connection: close"));
    Fw_RigConn_Close(c);
    Fw_RouterEnv_Free(&env);
}
END_TEST

int
main(void)
{
    TCase *tc = Fw_Suite_New("answers at a stop");

    tcase_set_timeout(tc, 30);
    tcase_add_test(tc, a_request_that_outlasts_the_stop_is_answered);
    return Fw_Suite_Run(tc);
}
