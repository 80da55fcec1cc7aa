/* Unpacks received frames and passes their messages to the core. */
#include <errno.h>

#include "core/pack_scan.h"
#include "io/peer_priv.h"

static void
deliver_message(struct fw_peers *p, const struct fw_peer_conn *conn,
                struct fw_msg *msg)
{
    struct fw_event ev = {.kind = FW_EV_PEER};

    g_strlcpy(ev.u.peer.from, conn->peer.name, sizeof(ev.u.peer.from));
    ev.u.peer.boot = conn->peer.boot;
    ev.u.peer.msg = msg;
    p->metrics.messages_in.value++;
    p->sink.event(p->sink.ctx, &ev);
}

/* Frames larger than FW_FRAME_MAX_BYTES may hold only configuration. */
static int
receive_message(struct fw_peers *p, const struct fw_peer_conn *conn,
                const msgpack_object *obj, size_t frame_len)
{
    struct fw_msg msg = {0};
    int rc = Fw_Msg_Unpack(obj, &msg);

    if (rc) {
        return rc;
    }
    if (frame_len > FW_FRAME_MAX_BYTES && msg.area != FW_AREA_CONFIG) {
        rc = -EBADMSG;
    }
    else {
        deliver_message(p, conn, &msg);
    }
    Fw_Msg_Clear(&msg);
    return rc;
}

int
Fw_Peers_ReceiveFrame(struct fw_peers *p, const struct fw_peer_conn *conn,
                      const uint8_t *data, size_t len)
{
    size_t offset = 0;
    int rc = 0;

    p->metrics.bytes_in.value +=
        (int64_t)(len + sizeof(uint32_t) + FW_FRAME_MAC_SIZE);
    if (!Fw_PackScan_IsSane(data, len)) {
        return -EBADMSG;
    }
    while (!rc && offset < len && conn->is_open) {
        msgpack_unpacked one;

        msgpack_unpacked_init(&one);
        rc = msgpack_unpack_next(&one, (const char *)data, len, &offset) ==
                     MSGPACK_UNPACK_SUCCESS
                 ? receive_message(p, conn, &one.data, len)
                 : -EBADMSG;
        msgpack_unpacked_destroy(&one);
    }
    return rc;
}
