/* Requests that another instance hands over, on real sockets. */
#include <check.h>
#include <string.h>

#include "relayd/relayd_internal.h"
#include "tests/base/suite.h"
#include "tests/relayd/router_env.h"

#define FW_KEY "Authorization: Bearer k1\r\n"
#define FW_HANDED_OVER FW_HANDOVER_FIELD ": 1\r\n"

/* Sends a request as another instance does. */
static struct rig_conn *
hand_over(struct router_env *env, const char *line, const char *fields)
{
    char addr[FW_URL_MAX];
    struct rig_conn *c;
    char *text = g_strdup_printf("%s HTTP/1.1\r\nHost: demo.example\r\n"
                                 "Request-Id: r1\r\n%s\r\n",
                                 line, fields);

    g_snprintf(addr, sizeof(addr), "127.0.0.1:%d",
               Fw_Server_Port(env->router->peer_server));
    c = Fw_RigConn_Open(addr);
    Fw_RigConn_Send(c, text, -1);
    g_free(text);
    return c;
}

static void
assert_no_server_saw(const struct router_env *env, const char *field)
{
    ck_assert_ptr_null(strstr(Fw_WireServer_LastRequestHead(env->s1), field));
    ck_assert_ptr_null(strstr(Fw_WireServer_LastRequestHead(env->s2), field));
}

/* Guards against requests that no instance can be asked to serve. */
START_TEST(a_request_of_another_instance_is_served)
{
    struct router_env env;
    struct rig_conn *c;

    Fw_RouterEnv_InitAndStart(&env);
    c = hand_over(&env, "GET /read/x", FW_KEY FW_HANDED_OVER);
    Fw_RigConn_Expect(c, "the answer");
    ck_assert_ptr_nonnull(strstr(c->received->str, "HTTP/1.1 200"));
    assert_no_server_saw(&env, FW_HANDOVER_FIELD);
    assert_no_server_saw(&env, "Authorization");
    Fw_RigConn_Close(c);
    Fw_RouterEnv_Free(&env);
}
END_TEST

/* Guards against handing over as a way around the check of keys. */
/* Guards against the instance between that ends a broken stream properly. */
START_TEST(a_broken_stream_is_handed_back_as_broken)
{
    struct router_env env;
    struct rig_conn *c;

    Fw_RouterEnv_InitAndStart(&env);
    Fw_WireServer_SetFault(env.d1, FW_WIRE_FAULT_PARTIAL, 1);
    Fw_WireServer_SetFault(env.d2, FW_WIRE_FAULT_PARTIAL, 1);
    c = hand_over(&env, "POST /outlook/x", FW_KEY FW_TOKENS FW_HANDED_OVER);
    Fw_RigConn_Expect(c, "data: pie");
    Fw_RigConn_ExpectEof(c);
    ck_assert_ptr_null(strstr(c->received->str, "\r\n0\r\n"));
    Fw_RigConn_Close(c);
    Fw_RouterEnv_Free(&env);
}
END_TEST

START_TEST(a_request_that_was_handed_over_needs_a_key)
{
    struct router_env env;
    struct rig_conn *c;

    Fw_RouterEnv_InitAndStart(&env);
    c = hand_over(&env, "GET /read/x", FW_HANDED_OVER);
    Fw_RigConn_Expect(c, "HTTP/1.1 401");
    Fw_RigConn_Close(c);
    Fw_RouterEnv_Free(&env);
}
END_TEST

/* Guards against callers who read the configuration, keys and all. */
START_TEST(a_request_that_was_handed_over_gets_no_snapshot)
{
    struct router_env env;
    struct rig_conn *c;

    Fw_RouterEnv_InitAndStart(&env);
    c = hand_over(&env, "GET /newest/configuration", FW_KEY FW_HANDED_OVER);
    Fw_RigConn_Expect(c, "HTTP/1.1 404");
    Fw_RigConn_Close(c);
    Fw_RouterEnv_Free(&env);
}
END_TEST

/* Guards against callers who pretend to be an instance. */
START_TEST(the_field_means_nothing_from_a_caller)
{
    struct router_env env;
    struct rig_conn *c;

    Fw_RouterEnv_InitAndStart(&env);
    c = Fw_RouterEnv_SendRequest(&env, "GET /read/x", FW_HANDED_OVER);
    Fw_RigConn_Expect(c, "the answer");
    assert_no_server_saw(&env, FW_HANDOVER_FIELD);
    Fw_RigConn_Close(c);
    Fw_RouterEnv_Free(&env);
}
END_TEST

int
main(void)
{
    TCase *tc = Fw_Suite_New("relayd handover of requests");

    tcase_set_timeout(tc, 30);
    tcase_add_test(tc, a_request_of_another_instance_is_served);
    tcase_add_test(tc, a_broken_stream_is_handed_back_as_broken);
    tcase_add_test(tc, a_request_that_was_handed_over_needs_a_key);
    tcase_add_test(tc, a_request_that_was_handed_over_gets_no_snapshot);
    tcase_add_test(tc, the_field_means_nothing_from_a_caller);
    return Fw_Suite_Run(tc);
}
