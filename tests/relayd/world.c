#include "tests/relayd/world.h"

#include <fcntl.h>
#include <unistd.h>

static const struct fw_wire_opts servers[] = {
    {"p1", "llm", "a", "prefill", 8, 40000, 5, 500, 400},
    {"d1", "llm", "a", "decode", 8, 40000, 5, 500, 400},
    {"d2", "llm", "b", "decode", 8, 40000, 5, 500, 400},
    {"s1", "desk", "a", "", 4, 0, 0, 1, 0},
    {"s2", "desk", "b", "", 4, 0, 0, 1, 0},
};

void
Fw_World_Configure(struct world *w, int version, const char *keys)
{
    char *config = Fw_Wire_Config(version, keys);

    Fw_WireStore_Put(w->store, "keyed.op", "config", config);
    g_free(config);
}

static void
set_opts(struct world *w)
{
    struct fw_relayd_opts *o = &w->opts;

    *o = (struct fw_relayd_opts){.callers = "127.0.0.1:0",
                                 .ready_addr = "127.0.0.1:0",
                                 .ready_path = "/readyz",
                                 .metrics_addr = "127.0.0.1:0",
                                 .peers_addr = "127.0.0.1:0",
                                 .config_wait_us = 200 * FW_MSEC,
                                 .servers_interval_us = 20 * FW_MSEC,
                                 .log_bytes = 65536};
    o->relay = (struct fw_relay_opts){.name = "n1",
                                      .domain = "a",
                                      .boot = 1,
                                      .seed = 7,
                                      .retry_ratio_ppm = 200000,
                                      .retry_extra = 50,
                                      .retry_window_us = 10 * FW_SEC,
                                      .key_stale_us = 2 * FW_SEC,
                                      .digest_every_us = FW_SEC,
                                      .queue_us = 500 * FW_MSEC,
                                      .read_here_us = 600 * FW_MSEC,
                                      .reserve_permille = 1000,
                                      .prefill_permille = 50,
                                      .lease_us = 3 * FW_SEC,
                                      .grace_us = 8 * FW_SEC,
                                      .log_level = 7};
    g_snprintf(o->store_addr, sizeof(o->store_addr), "127.0.0.1:%d",
               Fw_WireStore_Port(w->store));
}

int
Fw_World_IsReady(void *ctx)
{
    return Fw_Relayd_IsReady(((struct world *)ctx)->relay);
}

void
Fw_World_Start(struct world *w)
{
    int err = 0;

    w->relay = Fw_Relayd_New(&w->opts, NULL, &err);
    ck_assert_ptr_nonnull(w->relay);
    g_snprintf(w->callers, sizeof(w->callers), "127.0.0.1:%d",
               Fw_Relayd_CallersPort(w->relay));
    Fw_Rig_Until(Fw_World_IsReady, w);
}

void
Fw_World_Make(struct world *w)
{
    *w = (struct world){0};
    w->null = open("/dev/null", O_WRONLY);
    Fw_Note_SetupBounded("n1", w->null, 65536);
    w->store = Fw_WireStore_New("127.0.0.1:0");
    w->p1 = Fw_WireServer_New(w->store, "127.0.0.1:0", &servers[0]);
    w->d1 = Fw_WireServer_New(w->store, "127.0.0.1:0", &servers[1]);
    w->d2 = Fw_WireServer_New(w->store, "127.0.0.1:0", &servers[2]);
    w->s1 = Fw_WireServer_New(w->store, "127.0.0.1:0", &servers[3]);
    w->s2 = Fw_WireServer_New(w->store, "127.0.0.1:0", &servers[4]);
    Fw_World_Configure(w, 1, FW_KEYS);
    set_opts(w);
}

void
Fw_World_Open(struct world *w)
{
    Fw_World_Make(w);
    Fw_World_Start(w);
}

void
Fw_World_Close(struct world *w)
{
    Fw_Relayd_Free(w->relay);
    Fw_WireServer_Free(w->p1);
    Fw_WireServer_Free(w->d1);
    Fw_WireServer_Free(w->d2);
    Fw_WireServer_Free(w->s1);
    Fw_WireServer_Free(w->s2);
    Fw_WireStore_Free(w->store);
    close(w->null);
}

struct rig_conn *
Fw_World_Ask(struct world *w, const char *line, const char *fields)
{
    struct rig_conn *c = Fw_RigConn_Open(w->callers);
    char *text = g_strdup_printf("%s HTTP/1.1\r\nHost: demo.example\r\n"
                                 "Authorization: Bearer k1\r\n"
                                 "Request-Id: r1\r\n%s\r\n",
                                 line, fields);

    Fw_RigConn_Send(c, text, -1);
    g_free(text);
    return c;
}
