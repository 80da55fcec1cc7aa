/*
 * State transfer between peers while the log can't be read.
 *
 * An instance that starts during an outage of the log would reject all
 * callers. It fetches a snapshot from a peer instead, one part per request, so
 * that send queues stay short. Only a complete state that is newer than its
 * own is installed; a peer without a newer state says so.
 */
#include <errno.h>
#include <string.h>

#include "config/replica_internal.h"

int
Fw_ConfigReplica_NeedsPeer(const struct fw_config_replica *rep, int64_t now_us)
{
    int64_t pause = rep->ready && !rep->gap ? FW_PEER_READY_INTERVAL_US
                                            : FW_PEER_RESEND_INTERVAL_US;

    if (rep->peer.name[0] || now_us < rep->peer.request_sent_us + pause) {
        return 0;
    }
    return rep->gap || Fw_ConfigReplica_StalenessUs(rep, now_us) >=
                           FW_PEER_REQUEST_STALENESS_US;
}

void
Fw_ConfigReplica_ResetPeer(struct fw_config_replica *rep)
{
    struct fw_replica_peer *p = &rep->peer;

    Fw_Snapshot_Reset(&p->assembler);
    p->name[0] = '\0';
    p->snapshot_id[0] = '\0';
    p->offset = 0;
    p->next_part = 0;
    p->retries = 0;
}

static void
send_request(struct fw_config_replica *rep, int64_t now_us,
             struct fw_actions *out)
{
    struct fw_replica_peer *p = &rep->peer;
    struct fw_msg msg = {.area = FW_AREA_CONFIG};

    msg.u.config.kind = FW_CONFIG_MSG_PART_REQUEST;
    msg.u.config.u.request.next_offset = rep->state->cfg->next_offset;
    msg.u.config.u.request.part = p->next_part;
    g_strlcpy(msg.u.config.u.request.snapshot_id, p->snapshot_id,
              sizeof(msg.u.config.u.request.snapshot_id));
    p->request_sent_us = now_us;
    Fw_Actions_SendPeer(out, p->name, p->addr, &msg);
    Fw_Actions_Wake(out, now_us + FW_PEER_RESEND_INTERVAL_US);
}

void
Fw_ConfigReplica_RequestFromPeer(struct fw_config_replica *rep,
                                 const char *peer, const char *addr,
                                 int64_t now_us, struct fw_actions *out)
{
    struct fw_replica_peer *p = &rep->peer;

    if (!Fw_ConfigReplica_NeedsPeer(rep, now_us)) {
        return;
    }
    Fw_ConfigReplica_ResetPeer(rep);
    g_strlcpy(p->name, peer, sizeof(p->name));
    g_strlcpy(p->addr, addr, sizeof(p->addr));
    send_request(rep, now_us, out);
}

void
Fw_ConfigReplica_TickPeer(struct fw_config_replica *rep, int64_t now_us,
                          struct fw_actions *out)
{
    struct fw_replica_peer *p = &rep->peer;

    if (p->served && now_us >= p->served_until_us) {
        Fw_Snapshot_Free(p->served);
        p->served = NULL;
    }
    if (p->served && p->served->writer) {
        Fw_ConfigReplica_StepSnapshot(rep, &p->served, 'p',
                                      &p->served_restarts);
        Fw_Actions_Wake(out, now_us + FW_SNAPSHOT_STEP_INTERVAL_US);
    }
    if (!p->name[0]) {
        return;
    }
    if (now_us < p->request_sent_us + FW_PEER_RESEND_INTERVAL_US) {
        Fw_Actions_Wake(out, p->request_sent_us + FW_PEER_RESEND_INTERVAL_US);
        return;
    }
    if (++p->retries > FW_PEER_RETRIES_MAX) {
        Fw_ConfigReplica_ResetPeer(rep);
        return;
    }
    send_request(rep, now_us, out);
}

static void
serve_part(struct fw_config_replica *rep, const char *from, const char *addr,
           const struct fw_config_part_request *req, int64_t now_us,
           struct fw_actions *out)
{
    struct fw_replica_peer *p = &rep->peer;
    struct fw_msg msg = {.area = FW_AREA_CONFIG};
    unsigned k = req->part;

    if (rep->state->cfg->next_offset <= req->next_offset) {
        msg.u.config.kind = FW_CONFIG_MSG_UP_TO_DATE;
        Fw_Actions_SendPeer(out, from, addr, &msg);
        return;
    }
    if (!p->served || p->served->header.offset <= req->next_offset) {
        Fw_Snapshot_Free(p->served);
        p->served = NULL;
        p->served_restarts = 0;
        Fw_ConfigReplica_StepSnapshot(rep, &p->served, 'p',
                                      &p->served_restarts);
    }
    p->served_until_us = now_us + FW_PEER_SNAPSHOT_KEEP_US;
    Fw_Actions_Wake(out, p->served->writer
                             ? now_us + FW_SNAPSHOT_STEP_INTERVAL_US
                             : p->served_until_us);
    if (p->served->writer) {
        return; /* the requester retries after FW_PEER_RESEND_INTERVAL_US */
    }
    if (strcmp(req->snapshot_id, p->served->header.id) != 0) {
        k = 0;
    }
    if (k >= p->served->parts->len) {
        return;
    }
    msg.u.config.kind = FW_CONFIG_MSG_PART;
    msg.u.config.u.part = g_strdup(g_ptr_array_index(p->served->parts, k));
    Fw_Actions_SendPeer(out, from, addr, &msg);
}

static void
receive_part(struct fw_config_replica *rep, const char *from, const char *part,
             int64_t now_us, struct fw_actions *out)
{
    struct fw_replica_peer *p = &rep->peer;
    struct fw_snapshot_header header;
    struct fw_config_state *st = NULL;
    int rc;

    if (strcmp(p->name, from) != 0 || Fw_Snapshot_ParseHeader(part, &header) ||
        header.offset <= rep->state->cfg->next_offset) {
        return;
    }
    if (strcmp(p->snapshot_id, header.id) != 0) {
        Fw_Snapshot_Reset(&p->assembler);
    }
    rc = Fw_Snapshot_Feed(&p->assembler, part, &st, &p->next_part);
    if (rc < 0) {
        rep->metrics.snap_refused.value++;
        Fw_ConfigReplica_ResetPeer(rep);
        return;
    }
    g_strlcpy(p->snapshot_id, header.id, sizeof(p->snapshot_id));
    p->retries = 0;
    if (rc == 0) {
        send_request(rep, now_us, out);
        return;
    }
    Fw_ConfigReplica_ResetPeer(rep);
    if (Fw_ConfigReplica_Install(rep, st, "peer", out)) {
        rep->ready = 1;
    }
}

void
Fw_ConfigReplica_OnMsg(struct fw_config_replica *rep, const char *from,
                       const char *addr, const struct fw_config_msg *msg,
                       int64_t now_us, struct fw_actions *out)
{
    switch (msg->kind) {
    case FW_CONFIG_MSG_UP_TO_DATE:
        if (strcmp(rep->peer.name, from) == 0) {
            Fw_ConfigReplica_ResetPeer(rep);
        }
        break;
    case FW_CONFIG_MSG_PART_REQUEST:
        serve_part(rep, from, addr, &msg->u.request, now_us, out);
        break;
    case FW_CONFIG_MSG_PART:
        receive_part(rep, from, msg->u.part, now_us, out);
        break;
    }
}
