/* Engines that crash on a part of a prompt, over real sockets. */
#include <string.h>

#include "http/conn.h"
#include "tests/relayd/router_env.h"

/* Crashes closer than this could have one cause, such as a power failure. */
#define FW_APART_US (350 * FW_MSEC)
#define FW_BAD FW_TOKENS "Prompt-Prefix: ba5e:200,bad:50,%d:1\r\n"
#define FW_SOUND FW_TOKENS "Prompt-Prefix: ba5e:200,50:50,99:1\r\n"

static const struct fw_wire_opts engine_opts[2] = {
    {"d1", "llm", "a", "decode", 8, 40000, 5, 500, 400},
    {"d2", "llm", "b", "decode", 8, 40000, 5, 500, 400},
};

static int
has_triggered(void *ctx)
{
    struct router_env *env = ctx;

    return Fw_WireServer_FaultTriggered(env->d1) ||
           Fw_WireServer_FaultTriggered(env->d2);
}

static int
is_past(void *ctx)
{
    return Fw_Conn_NowUs() >= *(int64_t *)ctx;
}

static void
restart_engine(struct router_env *env, int k)
{
    struct fw_wire_server **s = k ? &env->d2 : &env->d1;

    Fw_WireServer_Free(*s);
    *s = Fw_WireServer_New(env->store, "127.0.0.1:0", &engine_opts[k]);
}

/* Sends a request with the bad part; the engine that runs it ends. */
static void
crash_engine(struct router_env *env, int n)
{
    int64_t until_us = Fw_Conn_NowUs() + FW_APART_US;
    char *fields = g_strdup_printf(FW_BAD, n);
    struct rig_conn *c;
    int k;

    Fw_WireServer_SetFault(env->d1, FW_WIRE_FAULT_RESET, 1);
    Fw_WireServer_SetFault(env->d2, FW_WIRE_FAULT_RESET, 1);
    c = Fw_RouterEnv_SendRequest(env, "POST /outlook/x", fields);
    Fw_Rig_RunUntil(has_triggered, env);
    k = Fw_WireServer_FaultTriggered(env->d2);
    Fw_WireServer_SetFault(k ? env->d1 : env->d2, FW_WIRE_FAULT_NONE, 0);
    Fw_RigConn_Expect(c, "HTTP/1.1 502 ");
    Fw_RigConn_Close(c);
    restart_engine(env, k);
    Fw_Rig_RunUntil(is_past, &until_us);
    g_free(fields);
}

/*
 * Guards against engine after engine lost to one part of prompts, and against
 * sound requests that are refused for what they share with the bad ones.
 */
START_TEST(a_part_that_crashes_engines_is_refused_and_sound_ones_are_served)
{
    struct router_env env;
    struct rig_conn *c;
    char *fields = g_strdup_printf(FW_BAD, 7);

    Fw_RouterEnv_InitAndStart(&env);
    c = Fw_RouterEnv_SendRequest(&env, "POST /outlook/x", FW_SOUND);
    Fw_RigConn_Expect(c, "\r\n0\r\n\r\n");
    Fw_RigConn_Close(c);
    for (int n = 0; n < 3; n++) {
        crash_engine(&env, n);
    }
    c = Fw_RouterEnv_SendRequest(&env, "POST /outlook/x", fields);
    Fw_RigConn_Expect(c, "HTTP/1.1 503 ");
    Fw_RigConn_Expect(c, "{\"Error\":\"poison\",\"Ran\":\"no\"}");
    ck_assert_ptr_nonnull(strstr(c->received->str, "Retry-After: "));
    Fw_RigConn_Close(c);
    c = Fw_RouterEnv_SendRequest(&env, "POST /outlook/x", FW_SOUND);
    Fw_RigConn_Expect(c, "\r\n0\r\n\r\n");
    Fw_RigConn_Close(c);
    Fw_RouterEnv_Free(&env);
    g_free(fields);
}
END_TEST

int
main(void)
{
    TCase *tc = Fw_Suite_New("crashing part");

    tcase_set_timeout(tc, 30);
    tcase_add_test(
        tc, a_part_that_crashes_engines_is_refused_and_sound_ones_are_served);
    return Fw_Suite_Run(tc);
}
