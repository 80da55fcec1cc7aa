/* The platform of a soak: stand-ins, each behind a proxy. */
#include <string.h>

#include "soak/soak.h"

static const struct fw_wire_opts opts[FW_SOAK_SERVERS] = {
    {"p1", "llm", "a", "prefill", 8, 40000, 10, 50, 500},
    {"p2", "llm", "b", "prefill", 8, 40000, 10, 50, 500},
    {"d1", "llm", "a", "decode", 8, 40000, 10, 25, 500},
    {"d2", "llm", "b", "decode", 8, 40000, 10, 25, 500},
    {"d3", "llm", "c", "decode", 8, 40000, 10, 25, 500},
    {"s1", "desk", "a", "", 8, 0, 0, 1, 0},
    {"s2", "desk", "b", "", 8, 0, 0, 1, 0},
    {"s3", "desk", "c", "", 8, 0, 0, 1, 0},
    {"s4", "desk", "a", "", 8, 0, 0, 1, 0},
};

static void
start_server(struct soak_server *v)
{
    struct soak *s = v->soak;
    char addr[FW_URL_MAX];

    v->stand = Fw_WireServer_NewBehindProxy(s->store, "127.0.0.1:0", v->opts);
    Fw_WireServer_SetFraming(v->stand, FW_WIRE_BY_TURNS);
    Fw_WireServer_SetObserver(v->stand, Fw_SoakCheck_ServerEvent, v);
    if (!v->proxy) {
        v->proxy = Fw_Proxy_New(Fw_WireServer_Addr(v->stand));
    }
    Fw_Proxy_SetTarget(v->proxy, Fw_WireServer_Addr(v->stand));
    g_snprintf(addr, sizeof(addr), "127.0.0.1:%d", Fw_Proxy_Port(v->proxy));
    Fw_WireServer_Advertise(v->stand, addr);
}

void
Fw_SoakWorld_RestartServer(struct soak_server *v)
{
    if (v->crash_timer) {
        g_source_remove(v->crash_timer);
        v->crash_timer = 0;
    }
    if (v->is_down) {
        v->is_down = 0;
        Fw_Proxy_SetMode(v->proxy, FW_PROXY_PASS);
    }
    Fw_Proxy_ResetAll(v->proxy);
    Fw_WireServer_Free(v->stand);
    if (v->draining_us) {
        Fw_Soak_Log(v->soak, "%s: last request %d ms after its entry",
                    v->opts->id, (int)(v->last_after_us / FW_MSEC));
    }
    v->draining_us = 0;
    v->last_after_us = 0;
    v->limit_us = 0;
    v->rests = 0;
    memset(v->told_us, 0, sizeof(v->told_us));
    memset(v->rest_us, 0, sizeof(v->rest_us));
    memset(v->left_us, 0, sizeof(v->left_us));
    start_server(v);
}

void
Fw_SoakWorld_PutConfig(struct soak *s, int with_k2)
{
    char *config = Fw_Wire_MakeConfig(++s->config_version,
                                      with_k2 ? "\"k1\",\"k2\"" : "\"k1\"");

    Fw_WireStore_Put(s->store, "keyed.op", "config", config);
    g_free(config);
}

void
Fw_SoakWorld_Start(struct soak *s)
{
    s->store = Fw_WireStore_New("127.0.0.1:0");
    Fw_SoakWorld_PutConfig(s, 1);
    for (int i = 0; i < FW_SOAK_SERVERS; i++) {
        s->servers[i].soak = s;
        s->servers[i].opts = &opts[i];
        s->servers[i].arrivals =
            g_array_new(FALSE, FALSE, sizeof(struct soak_arrival));
        start_server(&s->servers[i]);
    }
    for (int i = 0; i < s->n_relays; i++) {
        char addr[FW_URL_MAX];

        g_snprintf(addr, sizeof(addr), "127.0.0.1:%d",
                   Fw_WireStore_Port(s->store));
        s->relays[i].store_proxy = Fw_Proxy_New(addr);
    }
}

void
Fw_SoakWorld_Stop(struct soak *s)
{
    for (int i = 0; i < FW_SOAK_SERVERS; i++) {
        Fw_Proxy_Free(s->servers[i].proxy);
        Fw_WireServer_Free(s->servers[i].stand);
        if (s->servers[i].crash_timer) {
            g_source_remove(s->servers[i].crash_timer);
        }
        g_array_unref(s->servers[i].arrivals);
    }
    for (int i = 0; i < s->n_relays; i++) {
        Fw_Proxy_Free(s->relays[i].store_proxy);
    }
    Fw_WireStore_Free(s->store);
}
