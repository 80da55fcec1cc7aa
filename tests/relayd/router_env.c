#include "tests/relayd/router_env.h"

#include <fcntl.h>
#include <string.h>
#include <unistd.h>

static const struct fw_wire_opts servers[] = {
    {"p1", "llm", "a", "prefill", 8, 40000, 5, 500, 400},
    {"d1", "llm", "a", "decode", 8, 40000, 5, 500, 400},
    {"d2", "llm", "b", "decode", 8, 40000, 5, 500, 400},
    {"s1", "desk", "a", "", 4, 0, 0, 1, 0},
    {"s2", "desk", "b", "", 4, 0, 0, 1, 0},
};

void
Fw_RouterEnv_PutConfig(struct router_env *env, int version, const char *keys)
{
    char *config = Fw_Wire_MakeConfig(version, keys);

    Fw_WireStore_Put(env->store, "keyed.op", "config", config);
    g_free(config);
}

static void
set_opts(struct router_env *env)
{
    struct fw_relayd_opts *o = &env->opts;

    *o = (struct fw_relayd_opts){.callers_addr = "127.0.0.1:0",
                                 .ready_addr = "127.0.0.1:0",
                                 .ready_path = "/readyz",
                                 .metrics_addr = "127.0.0.1:0",
                                 .peers_addr = "127.0.0.1:0",
                                 .config_wait_us = 200 * FW_MSEC,
                                 .servers_interval_us = 20 * FW_MSEC,
                                 .log_buffer_bytes = 65536};
    o->relay = (struct fw_relay_opts){.name = "n1",
                                      .domain = "a",
                                      .boot = 1,
                                      .seed = 7,
                                      .retry_ratio_ppm = 2000000,
                                      .retry_extra = 50,
                                      .retry_window_us = 10 * FW_SEC,
                                      .key_stale_us = 2 * FW_SEC,
                                      .digest_period_us = FW_SEC,
                                      .queue_limit_us = 500 * FW_MSEC,
                                      .local_prefill_us = 600 * FW_MSEC,
                                      .reserve_permille = 1000,
                                      .prefill_permille = 50,
                                      .lease_us = 3 * FW_SEC,
                                      .grace_us = 8 * FW_SEC,
                                      .log_level = 7};
    g_snprintf(o->store_addr, sizeof(o->store_addr), "127.0.0.1:%d",
               Fw_WireStore_Port(env->store));
}

int
Fw_RouterEnv_IsReady(void *ctx)
{
    return Fw_Relayd_IsReady(((struct router_env *)ctx)->router);
}

void
Fw_RouterEnv_StartRouter(struct router_env *env)
{
    int err = 0;

    env->router = Fw_Relayd_New(&env->opts, NULL, &err);
    ck_assert_ptr_nonnull(env->router);
    g_snprintf(env->callers, sizeof(env->callers), "127.0.0.1:%d",
               Fw_Relayd_CallersPort(env->router));
    Fw_Rig_RunUntil(Fw_RouterEnv_IsReady, env);
}

void
Fw_RouterEnv_Init(struct router_env *env)
{
    *env = (struct router_env){0};
    env->null_fd = open("/dev/null", O_WRONLY);
    Fw_Logger_SetupNonblocking("n1", env->null_fd, 65536);
    env->store = Fw_WireStore_New("127.0.0.1:0");
    env->p1 = Fw_WireServer_New(env->store, "127.0.0.1:0", &servers[0]);
    env->d1 = Fw_WireServer_New(env->store, "127.0.0.1:0", &servers[1]);
    env->d2 = Fw_WireServer_New(env->store, "127.0.0.1:0", &servers[2]);
    env->s1 = Fw_WireServer_New(env->store, "127.0.0.1:0", &servers[3]);
    env->s2 = Fw_WireServer_New(env->store, "127.0.0.1:0", &servers[4]);
    Fw_RouterEnv_PutConfig(env, 1, FW_KEYS);
    set_opts(env);
}

void
Fw_RouterEnv_InitAndStart(struct router_env *env)
{
    Fw_RouterEnv_Init(env);
    Fw_RouterEnv_StartRouter(env);
}

void
Fw_RouterEnv_Free(struct router_env *env)
{
    Fw_Relayd_Free(env->router);
    Fw_WireServer_Free(env->p1);
    Fw_WireServer_Free(env->d1);
    Fw_WireServer_Free(env->d2);
    Fw_WireServer_Free(env->s1);
    Fw_WireServer_Free(env->s2);
    Fw_WireStore_Free(env->store);
    close(env->null_fd);
}

struct rig_conn *
Fw_RouterEnv_SendRequest(struct router_env *env, const char *line,
                         const char *fields)
{
    struct rig_conn *c = Fw_RigConn_Open(env->callers);
    char *text = g_strdup_printf("%s HTTP/1.1\r\nHost: demo.example\r\n"
                                 "Authorization: Bearer k1\r\n"
                                 "Request-Id: r1\r\n%s\r\n",
                                 line, fields);

    Fw_RigConn_Send(c, text, -1);
    g_free(text);
    return c;
}

int
Fw_RouterEnv_IsRejected(void *ctx)
{
    struct router_env *env = ctx;
    struct rig_conn *c = Fw_RouterEnv_SendRequest(env, "GET /read/x", "");
    int refused;

    Fw_RigConn_Expect(c, "HTTP/1.1 ");
    refused =
        strstr(c->received->str, " 401 ") || strstr(c->received->str, " 503 ");
    Fw_RigConn_Close(c);
    return refused;
}
