#include "tests/relayd/relay_fleet_env.h"

#include <check.h>
#include <fcntl.h>
#include <string.h>
#include <unistd.h>

#include "http/conn.h"
#include "io/logger.h"

/* Interval of requests to each router. */
#define FW_LOAD_INTERVAL_MS 20

static const struct fw_wire_opts servers[FW_ENV_SERVERS] = {
    {"s1", "desk", "a", "", 4, 0, 0, 1, 0},
    {"s2", "desk", "b", "", 4, 0, 0, 1, 0},
    {"s3", "desk", "c", "", 4, 0, 0, 1, 0},
};

static void
start_router(struct relay_fleet_env *env, int i)
{
    struct fw_relayd_opts o = {.callers_addr = "127.0.0.1:0",
                               .ready_addr = "127.0.0.1:0",
                               .ready_path = "/readyz",
                               .metrics_addr = "127.0.0.1:0",
                               .peers_addr = "127.0.0.1:0",
                               .config_wait_us = 200 * FW_MSEC,
                               .servers_interval_us = 100 * FW_MSEC,
                               .log_buffer_bytes = 65536};
    int err = 0;

    o.relay = (struct fw_relay_opts){.boot = 1,
                                     .seed = 7 + (uint32_t)i,
                                     .retry_ratio_ppm = 200000,
                                     .retry_extra = 50,
                                     .retry_window_us = 10 * FW_SEC,
                                     .key_stale_us = 4 * FW_SEC,
                                     .grace_us = 8 * FW_SEC,
                                     .lease_us = 3 * FW_SEC};
    g_snprintf(o.relay.name, sizeof(o.relay.name), "n%d", i + 1);
    g_snprintf(o.relay.domain, sizeof(o.relay.domain), "%c", 'a' + i);
    g_snprintf(o.store_addr, sizeof(o.store_addr), "127.0.0.1:%d",
               Fw_WireStore_Port(env->store));
    env->routers[i] = Fw_Relayd_New(&o, NULL, &err);
    ck_assert_ptr_nonnull(env->routers[i]);
    g_snprintf(env->callers[i], sizeof(env->callers[i]), "127.0.0.1:%d",
               Fw_Relayd_CallersPort(env->routers[i]));
}

static int
are_ready(void *ctx)
{
    const struct relay_fleet_env *env = ctx;

    for (int i = 0; i < FW_ENV_ROUTERS; i++) {
        if (env->routers[i] && !Fw_Relayd_IsReady(env->routers[i])) {
            return 0;
        }
    }
    return 1;
}

void
Fw_RelayFleetEnv_Init(struct relay_fleet_env *env, int n_routers)
{
    char *config = Fw_Wire_MakeConfig(1, "\"k1\"");

    *env = (struct relay_fleet_env){0};
    env->null_fd = open("/dev/null", O_WRONLY);
    Fw_Logger_SetupNonblocking("n1", env->null_fd, 65536);
    env->open = g_ptr_array_new();
    env->store = Fw_WireStore_New("127.0.0.1:0");
    for (int i = 0; i < FW_ENV_SERVERS; i++) {
        env->servers[i] =
            Fw_WireServer_New(env->store, "127.0.0.1:0", &servers[i]);
    }
    Fw_WireStore_Put(env->store, "keyed.op", "config", config);
    g_free(config);
    for (int i = 0; i < n_routers; i++) {
        start_router(env, i);
    }
    Fw_Rig_RunUntil(are_ready, env);
}

void
Fw_RelayFleetEnv_Free(struct relay_fleet_env *env)
{
    for (int i = 0; i < FW_ENV_ROUTERS; i++) {
        if (env->routers[i]) {
            Fw_Relayd_Free(env->routers[i]);
        }
    }
    for (int i = 0; i < FW_ENV_SERVERS; i++) {
        Fw_WireServer_Free(env->servers[i]);
    }
    Fw_WireStore_Free(env->store);
    g_ptr_array_unref(env->open);
    close(env->null_fd);
}

/* Counts and closes the requests that have a response. */
static void
collect_responses(struct relay_fleet_env *env)
{
    for (guint i = env->open->len; i-- > 0;) {
        struct rig_conn *c = g_ptr_array_index(env->open, i);
        int served = strstr(c->received->str, "the answer") != NULL;

        if (!served && !c->eof && !strstr(c->received->str, "\r\n\r\n")) {
            continue;
        }
        if (!served && !c->eof &&
            strncmp(c->received->str, "HTTP/1.1 200", 12) == 0) {
            continue;
        }
        env->n_served += served;
        env->n_rejected += !served;
        Fw_RigConn_Close(c);
        g_ptr_array_remove_index_fast(env->open, i);
    }
}

static gboolean
send_requests(gpointer data)
{
    struct relay_fleet_env *env = data;

    collect_responses(env);
    for (int i = 0; i < FW_ENV_ROUTERS; i++) {
        struct rig_conn *c;
        char *text;

        if (!env->routers[i]) {
            continue;
        }
        c = Fw_RigConn_Open(env->callers[i]);
        text = g_strdup_printf("GET /read/x HTTP/1.1\r\nHost: demo.example\r\n"
                               "Authorization: Bearer k1\r\n"
                               "Request-Id: r%d\r\n\r\n",
                               ++env->n_sent);
        Fw_RigConn_Send(c, text, -1);
        g_ptr_array_add(env->open, c);
        g_free(text);
    }
    return G_SOURCE_CONTINUE;
}

static int
all_answered(void *ctx)
{
    struct relay_fleet_env *env = ctx;

    collect_responses(env);
    return !env->open->len;
}

void
Fw_RelayFleetEnv_Load(struct relay_fleet_env *env, int64_t us)
{
    int64_t end = Fw_Conn_NowUs() + us;
    guint timer = g_timeout_add(FW_LOAD_INTERVAL_MS, send_requests, env);

    while (Fw_Conn_NowUs() < end) {
        g_main_context_iteration(NULL, TRUE);
    }
    g_source_remove(timer);
    Fw_Rig_RunUntil(all_answered, env);
}
