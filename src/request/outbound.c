#include "request/request_internal.h"

void
Fw_Request_Send(struct fw_requests *rs, const char *to,
                const struct fw_request_msg *msg, struct fw_actions *out)
{
    const struct fw_member *m = Fw_Fleet_Find(rs->deps.fleet, to);
    struct fw_msg wrapped = {.area = FW_AREA_REQUEST, .u.request = *msg};

    if (!m) {
        Fw_Msg_Clear(&wrapped);
        return;
    }
    Fw_Actions_SendPeer(out, to, m->addr, &wrapped);
}

struct fw_up_start *
Fw_Request_StartUpstreamCall(struct fw_actions *out, uint64_t op,
                             enum fw_up_kind kind,
                             const struct fw_upstream *up, int64_t timeout_us)
{
    struct fw_up_start *s = &Fw_Actions_Add(out, FW_ACT_UP_START)->u.up;

    s->op = op;
    s->kind = kind;
    s->idle_timeout_us = timeout_us;
    g_strlcpy(s->upstream, up->name, sizeof(s->upstream));
    g_strlcpy(s->url, up->url, sizeof(s->url));
    return s;
}
