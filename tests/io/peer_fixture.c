#include "tests/io/peer_fixture.h"

#include <check.h>
#include <string.h>

void
Fw_PeerFixture_Start(struct peer_fixture *s, const char *name, uint64_t boot,
                     const char *secret)
{
    GBytes *bytes = g_bytes_new(secret, 16);
    struct fw_sink sink;

    Fw_RigCore_Init(&s->core);
    sink = Fw_RigCore_Sink(&s->core);
    s->self = (struct fw_self){.boot = boot};
    g_strlcpy(s->self.name, name, sizeof(s->self.name));
    s->peers = Fw_Peers_New(&sink, &s->self, bytes);
    Fw_Peers_AddMetrics(s->peers, &s->core.metrics);
    ck_assert_int_eq(Fw_Peers_Listen(s->peers, "127.0.0.1:0", s->addr), 0);
    g_bytes_unref(bytes);
}

void
Fw_PeerFixture_Stop(struct peer_fixture *s)
{
    Fw_Peers_Free(s->peers);
    Fw_RigCore_Clear(&s->core);
}

void
Fw_PeerFixture_SendPing(struct peer_fixture *from,
                        const struct peer_fixture *to)
{
    struct fw_peer_send send = {
        .msg = {.area = FW_AREA_FLEET,
                .u.fleet = {.kind = FW_FLEET_PING, .seq = 5}}};

    g_strlcpy(send.to, to->self.name, sizeof(send.to));
    g_strlcpy(send.addr, to->addr, sizeof(send.addr));
    Fw_Peers_Send(from->peers, &send);
}

void
Fw_PeerFixture_SendConfig(struct peer_fixture *from,
                          const struct peer_fixture *to, size_t size)
{
    struct fw_peer_send send = {
        .msg = {.area = FW_AREA_CONFIG,
                .u.config = {.kind = FW_CONFIG_MSG_PART}}};

    g_strlcpy(send.to, to->self.name, sizeof(send.to));
    g_strlcpy(send.addr, to->addr, sizeof(send.addr));
    send.msg.u.config.u.part = g_strnfill(size, 'x');
    Fw_Peers_Send(from->peers, &send);
    Fw_Msg_Clear(&send.msg);
}

int64_t
Fw_PeerFixture_Metric(const struct peer_fixture *s, const char *name)
{
    struct fw_list *pos;

    FW_LIST_EACH (pos, &s->core.metrics.all) {
        struct fw_metric *m = FW_LIST_ENTRY(pos, struct fw_metric, link);

        if (strcmp(m->name, name) == 0) {
            return m->value;
        }
    }
    ck_abort_msg("no metric %s", name);
    return 0;
}

struct metric_wait {
    const struct peer_fixture *fixture;
    const char *name;
    int64_t want;
};

static int
metric_reached(void *ctx)
{
    struct metric_wait *c = ctx;

    return Fw_PeerFixture_Metric(c->fixture, c->name) >= c->want;
}

void
Fw_PeerFixture_ExpectMetric(const struct peer_fixture *s, const char *name,
                            int64_t want)
{
    struct metric_wait c = {.fixture = s, .name = name, .want = want};

    Fw_Rig_RunUntil(metric_reached, &c);
}
