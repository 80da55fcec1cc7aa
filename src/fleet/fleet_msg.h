/* Messages of the fleet subsystem between instances. */
#ifndef FW_FLEET_MSG_H
#define FW_FLEET_MSG_H

#include <msgpack.h>
#include <stdint.h>

#include "base/limits.h"

#define FW_FLEET_UPDATES_MAX 8 /* rumours in one message */

/** enum fw_fleet_msg_kind - a wire value. */
enum fw_fleet_msg_kind {
    FW_FLEET_NONE,
    FW_FLEET_PING,
    FW_FLEET_ACK,
    FW_FLEET_PING_REQ,
};

/** struct fw_fleet_update - a rumour about one instance. */
struct fw_fleet_update {
    char name[FW_NAME_MAX];
    char addr[FW_URL_MAX];
    char domain[FW_NAME_MAX];
    char region[FW_NAME_MAX];
    uint64_t boot;
    uint32_t incarnation;
    int state; /* enum fw_member_state */
};

/**
 * struct fw_fleet_msg - tagged by @kind.
 * @seq: of the sender of the ping; an ack repeats it
 * @target, @target_addr: of a PING_REQ, whom to ping
 * @boot, @incarnation, @state: of a PING, what is believed of the receiver
 * @updates: owned, @n_updates of them
 */
struct fw_fleet_msg {
    enum fw_fleet_msg_kind kind;
    uint64_t seq;
    char target[FW_NAME_MAX];
    char target_addr[FW_URL_MAX];
    uint64_t boot;
    uint32_t incarnation;
    int state;
    int n_updates;
    struct fw_fleet_update *updates;
};

void
Fw_Fleet_PackMsg(msgpack_packer *pk, const struct fw_fleet_msg *msg);
/* Return: 0 or -EBADMSG; then nothing needs clearing. */
int
Fw_Fleet_UnpackMsg(const msgpack_object *obj, struct fw_fleet_msg *msg);
void
Fw_Fleet_ClearMsg(struct fw_fleet_msg *msg);

#endif
